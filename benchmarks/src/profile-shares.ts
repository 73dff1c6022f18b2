/**
 * Shares of a node's processor time by part, from the profiles that `call-cost --profile` writes. From its leaf upwards,
 * the first frame of the stack that matches a part decides the part of a sample, so that most time in the runtime counts
 * for the part that called it.
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

const microsecondsPerMillisecond = 1000;

/** Limit on the time that one sample counts for. In a longer gap the process was waiting for a core. */
const maximumSampleMilliseconds = 2;
const idlePart = 'idle';
const unattributed = 'the runtime, of no part';

/** Parts by patterns of `FUNCTION URL`; the first match counts. */
const partPatterns: ReadonlyArray<readonly [RegExp, string]> = [
	[/\(garbage collector\)/u, 'garbage collection'],
	[/\(idle\)/u, idlePart],
	[/compileFunction|node:internal\/modules|esm|compileSourceTextModule/u, 'loading of modules'],
	[/\/undici\/|http-client|upstream-client/u, 'HTTP to the upstream'],
	[/peer-link|peers-client|peers-server|protocol\/dist\/(?:call-codec|frames|string-table)/u, 'links'],
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

function findPart(names: readonly string[]): string {
	for (const name of names) {
		const found = partPatterns.find(([pattern]) => pattern.test(name));
		if (found !== undefined) {
			return found[1];
		}
	}

	return unattributed;
}

/** Adds the milliseconds of one profile by part and by function, from the given time after its start. */
function addProfile(file: string, skipMilliseconds: number, byPart: Map<string, number>, byFunction: Map<string, number>): void {
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

		return [id, findPart(names)];
	}));
	let elapsed = 0;
	samples.map((id, index) => {
		const delta = timeDeltas[index]! / microsecondsPerMillisecond;
		const milliseconds = Math.min(delta, maximumSampleMilliseconds);
		elapsed += delta;
		if (elapsed >= skipMilliseconds) {
			const part = partById.get(id)!;
			byPart.set(part, (byPart.get(part) ?? 0) + milliseconds);
			byFunction.set(nameOf(id), (byFunction.get(nameOf(id)) ?? 0) + milliseconds);
		}

		return id;
	});
}

const [folder = '.', skipSeconds = '0', printedFunctionCount = '0'] = process.argv.slice(2);
const millisecondsByPart = new Map<string, number>();
const millisecondsByFunction = new Map<string, number>();
readdirSync(folder).filter(name => name.endsWith('.cpuprofile')).map(name => {
	addProfile(join(folder, name), Number(skipSeconds) * microsecondsPerMillisecond, millisecondsByPart, millisecondsByFunction);
	return name;
});
millisecondsByPart.delete(idlePart);
const total = [...millisecondsByPart.values()].reduce((sum, value) => sum + value, 0);
const toRows = (values: ReadonlyMap<string, number>): string[][] => [...values].toSorted(([, one], [, other]) => other - one)
	.map(([name, milliseconds]) => [name, milliseconds.toFixed(0), `${(milliseconds * 100 / total).toFixed(1)} %`]);
process.stdout.write(`${formatTable([['part', 'ms', 'share'], ...toRows(millisecondsByPart)])}\n`);
millisecondsByFunction.delete('(idle) ');
process.stdout.write(`${formatTable([['function', 'ms', 'share'], ...toRows(millisecondsByFunction).slice(0, Number(printedFunctionCount))])}\n`);
