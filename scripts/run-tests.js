// Runs the compiled tests and counts the assertions in the TAP output. Failures that KNOWN-RED.txt lists are printed but
// don't fail the run. Usage: node scripts/run-tests.js [part of a test file's path]
import {spawnSync} from 'node:child_process';
import {
	existsSync, readdirSync, readFileSync, statSync,
} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

const testRoots = ['packages', 'platform', 'standins', 'demo', 'benchmarks', 'examples'];

const listFiles = folder => readdirSync(folder).filter(name => name !== 'node_modules' && name !== 'src').flatMap(name => {
	const entryPath = path.join(folder, name);
	return statSync(entryPath).isDirectory() ? listFiles(entryPath) : [entryPath];
});

const pathPart = process.argv[2] ?? '';
const testFiles = testRoots.filter(testRoot => existsSync(testRoot)).flatMap(testRoot => listFiles(testRoot)).filter(file => file.endsWith('.test.js') && file.includes(pathPart));
const tapRun = spawnSync('npx', ['tap', 'run', '--reporter=tap', ...testFiles], {encoding: 'utf8', maxBuffer: 256 * 1024 * 1024, stdio: ['ignore', 'pipe', 'inherit']});

// A result line consists of indentation, result and name. The line of a subtest only summarises its assertions, so it isn't
// counted again.
const lines = tapRun.stdout.split('\n');
const results = lines.flatMap((line, index) => {
	const match = /^(\s*)(not )?ok \d+ - (.*?)(?: # (?:time|SKIP|TODO).*)?(?: \{)?$/v.exec(line);
	return match === null
		? []
		: [{
			index, depth: match[1].length, failed: match[2] !== undefined, name: match[3],
		}];
});
const isParent = ({index, depth}) => lines[index].trimEnd().endsWith('{') || lines.slice(Math.max(0, index - 3), index).some(line => /^\s+1\.\.\d+/v.test(line) && line.search(/\S/v) > depth);
const assertions = results.filter(result => !isParent(result));
const knownFailures = existsSync('KNOWN-RED.txt')
	? readFileSync('KNOWN-RED.txt', 'utf8').split('\n').filter(line => line.startsWith('test: ')).map(line => line.slice(6).trim())
	: [];
const failures = assertions.filter(result => result.failed);
// A failure is known if its own name, or the name of an enclosing test or file, starts with a listed entry.
const withEnclosing = result => {
	const chain = [result];
	for (const other of results) {
		if (other.index > result.index && other.depth < chain.at(-1).depth) {
			chain.push(other);
		}
	}

	return chain;
};

const isKnown = result => withEnclosing(result).some(({name}) => knownFailures.some(entry => name.startsWith(entry)));
const unexpected = failures.filter(result => !isKnown(result));

// Returns a failure with the names of its enclosing tests and its diagnostics, so that a truncated log still shows the cause.
const formatFailure = result => [
	withEnclosing(result).map(({name}) => name).toReversed().join(' > '),
	...lines.slice(result.index, result.index + 1 + Math.max(0, lines.slice(result.index + 1).findIndex(line => /^\s*(?:not )?ok \d|^\s*1\.\./v.test(line)))),
].join('\n');

if (assertions.length === 0 || (tapRun.status !== 0 && failures.length === 0)) {
	console.log(tapRun.stdout.slice(-20_000));
}

for (const result of unexpected) {
	console.log(`failed: ${formatFailure(result)}`);
}

for (const {name} of failures.filter(result => isKnown(result))) {
	console.log(`known red: ${name}`);
}

const passed = assertions.filter(result => !result.failed).length;
const failed = tapRun.status !== 0 && failures.length === 0 ? Math.max(1, unexpected.length) : unexpected.length;
console.log(`${passed} passed, ${failed} failed`);
process.exitCode = failed === 0 && passed > 0 ? 0 : 1;
