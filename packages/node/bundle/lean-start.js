// Keeps out of the bundle what a start would load and the node never uses.
import {builtinModules} from 'node:module';
import {fileURLToPath} from 'node:url';

const parts = new Map(['undici', 'prom-client'].map(name => [name, fileURLToPath(new URL(`${name}.js`, import.meta.url))]));
const builtins = new Set(builtinModules);

/* eslint-disable require-unicode-regexp -- the bundler reads filters as expressions of Go */
const anything = /.*/;
const libraries = /^(?:undici|prom-client)$/;
const builtinNames = /^node:/;
/* eslint-enable require-unicode-regexp */

/** Built-in modules are required: an import of `node:http` reads all that it exports, and so starts the runtime's own fetch. */
export const leanStart = {
	name: 'lean-start',
	setup(build) {
		build.onResolve({filter: libraries}, ({path}) => ({path: parts.get(path)}));
		build.onResolve({filter: builtinNames}, ({path, kind}) => kind === 'import-statement' && builtins.has(path.slice('node:'.length)) ? {path, namespace: 'required'} : undefined);
		build.onLoad({filter: anything, namespace: 'required'}, ({path}) => ({contents: `module.exports = require('${path}');`}));
	},
};
