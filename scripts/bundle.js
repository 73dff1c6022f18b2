// Bundles the node for the users' platform into target/, so that a start reads few files.
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {build} from 'esbuild';
import {leanStart} from '../packages/node/bundle/lean-start.js';

const root = fileURLToPath(new URL('../', import.meta.url));
const source = name => path.join(root, 'packages', name, 'src/index.ts');

await build({
	absWorkingDir: root,
	entryPoints: {'laburnumspool-node': 'platform/src/main.ts'},
	outdir: 'target',
	bundle: true,
	splitting: true,
	platform: 'node',
	format: 'esm',
	target: 'node20',
	alias: {
		'@laburnumspool/core': source('core'),
		'@laburnumspool/manifest': source('manifest'),
		'@laburnumspool/node': source('node'),
		'@laburnumspool/protocol/control': path.join(root, 'packages/protocol/src/control-service.ts'),
		'@laburnumspool/protocol': source('protocol'),
	},
	// Modules of the older form that are bundled still ask for built-in ones by name.
	banner: {js: 'import {createRequire} from \'node:module\'; const require = createRequire(import.meta.url);'},
	define: {'process.env.NODE_ENV': '"production"'},
	plugins: [leanStart],
	logLevel: 'warning',
});
