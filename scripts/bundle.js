// Bundles the node for the users' platform into target/, so that the process loads few files at startup.
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {build} from 'esbuild';
import {leanStart} from '../packages/node/bundle/lean-start.js';

const root = fileURLToPath(new URL('../', import.meta.url));
const packageEntry = name => path.join(root, 'packages', name, 'src/index.ts');

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
		'@laburnumspool/core': packageEntry('core'),
		'@laburnumspool/manifest': packageEntry('manifest'),
		'@laburnumspool/node': packageEntry('node'),
		'@laburnumspool/protocol/control': path.join(root, 'packages/protocol/src/control-service.ts'),
		'@laburnumspool/protocol': packageEntry('protocol'),
	},
	// Bundled CommonJS modules load built-in modules with `require`, which ES modules don't define.
	banner: {js: 'import {createRequire} from \'node:module\'; const require = createRequire(import.meta.url);'},
	define: {'process.env.NODE_ENV': '"production"'},
	plugins: [leanStart],
	logLevel: 'warning',
});
