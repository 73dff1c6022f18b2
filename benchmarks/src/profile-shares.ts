/**
 * Shares of a node's processor time by part, from the profiles that `call-cost --profile` writes. The first part that
 * the stack names from its leaf upwards has the sample; what runs in the runtime belongs to the part that called it.
 *
 * @module
 */
import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import process from 'node:process';
import {formatTable} from '@laburnumspool/load';

type ProfileNode = {
	readonly id: number;
	readonly callFrame: {readonly functionName: string; readonly url: string};
	readonly children?: readonly number[];
};

type Profile = {
	readonly nodes: readonly ProfileNode[];
	readonly samples: readonly number[];
	readonly timeDeltas: readonly number[];
};

const millisecond = 1000;

/** A sample stands for no more time than this: what is above it, the process waited for its core. */
const longestSampleMilliseconds = 2;
const idle = 'idle';
const unnamed = 'the runtime, of no part';

/** Parts by the names of their files or functions; the first that fits counts. */
const parts: ReadonlyArray<readonly [RegExp, string]> = [
	[/\(garbage collector\)/u, 'garbage collection'],
	[/\(idle\)/u, idle],
	[/compileFunction|node:internal\/modules|esm|compileSourceTextModule/u, 'loading of modules'],
	[/\/undici\/|http-client|upstream-client/u, 'HTTP to the upstream'],
	[/peer-link|peers-client|peers-server|protocol\/dist\/(?:call-codec|frames|text-table)/u, 'links'],
	[/gossip-socket|protocol\/dist\/control-codec|core\/dist\/membership|node:dgram/u, 'gossip and membership'],
	[/core\/dist\/routing/u, 'core: routing'],
	[/core\/dist\/admission/u, 'core: admission'],
	[/core\/dist\/entry/u, 'core: entry'],
	[/core\/dist\/serving/u, 'core: serving'],
	[/core\/dist/u, 'core: the rest'],
	[/winston|logform|logs\.js|line-budget|event-log/u, 'logs'],
	[/prom-client|metrics\.js/u, 'metrics'],
	[/core-task|mailbox/u, 'mailbox and effects'],
	[/own-interface|announcements|store-task|platform-store|http-store/u, 'announcements and store'],
	[/callers-server|open-requests|http-messages|node:_http_(?:server|incoming|outgoing|common)/u, 'HTTP to callers'],
	[/node:internal\/timers|node:timers/u, 'timers'],
	[/node:_http_client|node:_http_agent/u, 'HTTP to the upstream'],
	[/node:net|node:internal\/streams|node:internal\/stream_base_commons|node:stream/u, 'sockets and streams, of no part'],
];

function partOf(names: readonly string[]): string {
	for (const name of names) {
		const found = parts.find(([pattern]) => pattern.test(name));
		if (found !== undefined) {
			return found[1];
		}
	}

	return unnamed;
}

/** Milliseconds by part and by function, from the given time after the start. */
function readShares(file: string, skipMilliseconds: number, times: Map<string, number>, functions: Map<string, number>): void {
	const {nodes, samples, timeDeltas} = JSON.parse(readFileSync(file, 'utf8')) as Profile;
	const byId = new Map(nodes.map(node => [node.id, node]));
	const parentOf = new Map(nodes.flatMap(node => (node.children ?? []).map(child => [child, node.id] as const)));
	const nameOf = (id: number): string => {
		const {functionName, url} = byId.get(id)!.callFrame;
		return `${functionName} ${url}`;
	};

	const partById = new Map(nodes.map(({id}) => {
		const names: string[] = [];
		for (let current: number | undefined = id; current !== undefined; current = parentOf.get(current)) {
			names.push(nameOf(current));
		}

		return [id, partOf(names)];
	}));
	let elapsed = 0;
	samples.map((id, index) => {
		const delta = timeDeltas[index]! / millisecond;
		const milliseconds = Math.min(delta, longestSampleMilliseconds);
		elapsed += delta;
		if (elapsed >= skipMilliseconds) {
			const part = partById.get(id)!;
			times.set(part, (times.get(part) ?? 0) + milliseconds);
			functions.set(nameOf(id), (functions.get(nameOf(id)) ?? 0) + milliseconds);
		}

		return id;
	});
}

const [folder = '.', skipSeconds = '0', functionCount = '0'] = process.argv.slice(2);
const times = new Map<string, number>();
const functions = new Map<string, number>();
readdirSync(folder).filter(name => name.endsWith('.cpuprofile')).map(name => {
	readShares(join(folder, name), Number(skipSeconds) * millisecond, times, functions);
	return name;
});
times.delete(idle);
const total = [...times.values()].reduce((sum, value) => sum + value, 0);
const toRows = (values: ReadonlyMap<string, number>): string[][] => [...values].toSorted(([, one], [, other]) => other - one)
	.map(([name, milliseconds]) => [name, milliseconds.toFixed(0), `${(milliseconds * 100 / total).toFixed(1)} %`]);
process.stdout.write(`${formatTable([['part', 'ms', 'share'], ...toRows(times)])}\n`);
functions.delete('(idle) ');
process.stdout.write(`${formatTable([['function', 'ms', 'share'], ...toRows(functions).slice(0, Number(functionCount))])}\n`);
