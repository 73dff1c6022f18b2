// Runs the compiled tests, counts their assertions from the runner's own report, and passes over just the cases that
// KNOWN-RED.txt lists.
import {spawnSync} from 'node:child_process';
import {
	existsSync, readdirSync, readFileSync, statSync,
} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

const sources = ['packages', 'platform', 'standins', 'demo', 'benchmarks', 'examples'];

const walk = folder => readdirSync(folder).filter(name => name !== 'node_modules' && name !== 'src').flatMap(name => {
	const entry = path.join(folder, name);
	return statSync(entry).isDirectory() ? walk(entry) : [entry];
});

const wanted = process.argv[2] ?? '';
const files = sources.filter(source => existsSync(source)).flatMap(source => walk(source)).filter(file => file.endsWith('.test.js') && file.includes(wanted));
const run = spawnSync('npx', ['tap', 'run', '--reporter=tap', ...files], {encoding: 'utf8', maxBuffer: 256 * 1024 * 1024, stdio: ['ignore', 'pipe', 'inherit']});

// A line of the report: indentation, result, name. A subtest's own line counts its parts, which are counted already.
const lines = run.stdout.split('\n');
const results = lines.flatMap((line, index) => {
	const match = /^(\s*)(not )?ok \d+ - (.*?)(?: # (?:time|SKIP|TODO).*)?(?: \{)?$/v.exec(line);
	return match === null
		? []
		: [{
			index, depth: match[1].length, failed: match[2] !== undefined, name: match[3],
		}];
});
const isParent = ({index, depth}) => lines[index].trimEnd().endsWith('{') || lines.slice(Math.max(0, index - 3), index).some(line => /^\s+1\.\.\d+/v.test(line) && line.search(/\S/v) > depth);
const leaves = results.filter(result => !isParent(result));
const known = existsSync('KNOWN-RED.txt')
	? readFileSync('KNOWN-RED.txt', 'utf8').split('\n').filter(line => line.startsWith('test: ')).map(line => line.slice(6).trim())
	: [];
const failures = leaves.filter(result => result.failed);
// A failure is known when its own name, or that of a test or file around it, is listed.
const enclosing = result => {
	const chain = [result];
	for (const other of results) {
		if (other.index > result.index && other.depth < chain.at(-1).depth) {
			chain.push(other);
		}
	}

	return chain;
};

const isKnown = result => enclosing(result).some(({name}) => known.some(entry => name.startsWith(entry)));
const unexpected = failures.filter(result => !isKnown(result));

// A failure with the names around it and what the runner says of it, which a cut report may no longer hold.
const describe = result => [
	enclosing(result).map(({name}) => name).toReversed().join(' > '),
	...lines.slice(result.index, result.index + 1 + Math.max(0, lines.slice(result.index + 1).findIndex(line => /^\s*(?:not )?ok \d|^\s*1\.\./v.test(line)))),
].join('\n');

if (leaves.length === 0 || (run.status !== 0 && failures.length === 0)) {
	console.log(run.stdout.slice(-20_000));
}

for (const result of unexpected) {
	console.log(`failed: ${describe(result)}`);
}

for (const {name} of failures.filter(result => isKnown(result))) {
	console.log(`known red: ${name}`);
}

const passed = leaves.filter(result => !result.failed).length;
const failed = run.status !== 0 && failures.length === 0 ? Math.max(1, unexpected.length) : unexpected.length;
console.log(`${passed} passed, ${failed} failed`);
process.exitCode = failed === 0 && passed > 0 ? 0 : 1;
