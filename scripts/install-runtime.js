// Installs the deployment's Node.js as target/node, for the processor of this machine. The product itself runs on any version
// that package.json admits; the build and the tests use the one of the machine.
import {spawnSync} from 'node:child_process';
import {copyFileSync, cpSync, mkdirSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

const root = fileURLToPath(new URL('../', import.meta.url));
const definition = path.join(root, 'deploy/runtime');
const folder = path.join(root, 'target/runtime');

mkdirSync(folder, {recursive: true});
cpSync(definition, folder, {recursive: true});
const {status} = spawnSync('npm', ['ci', '--silent', '--no-audit', '--no-fund'], {cwd: folder, stdio: 'inherit'});
if (status !== 0) {
	throw new Error(`npm ci in ${path.relative(root, folder)} ended with exit code ${status}`);
}

copyFileSync(path.join(folder, 'node_modules', `node-linux-${process.arch}`, 'bin/node'), path.join(root, 'target/node'));
