/**
 * Waiting until all live nodes have a revision in force.
 *
 * @module
 */
import {Agent} from 'undici';
import * as valibot from 'valibot';

const answerMilliseconds = 2000;
const totalMilliseconds = 10_000;
const maximumBytes = 16 * 1024 * 1024;

const membersSchema = valibot.object({
	members: valibot.array(valibot.object({name: valibot.string(), callers: valibot.string()})),
});
const healthSchema = valibot.object({revision: valibot.number()});

/** How far a revision has come. */
export type Spread = {
	readonly inForce: number;
	readonly live: number;
	readonly behind: readonly string[];
};

/**
 * Asks every live node which revision it has in force.
 *
 * @param nodes - addresses of some nodes' callers' ports, such as `127.0.0.1:7001`
 */
export async function readSpread(nodes: readonly string[], revision: number): Promise<Spread> {
	const revisions = await Promise.all(nodes.map(async node => ({node, revision: await readRevision(node)})));
	const behind = revisions.filter(entry => entry.revision < revision).map(entry => entry.node);
	return {inForce: nodes.length - behind.length, live: nodes.length, behind};
}

async function readRevision(node: string): Promise<number> {
	try {
		const result = valibot.safeParse(healthSchema, await read(node, 'health'));
		return result.success ? result.output.revision : 0;
	} catch {
		return 0;
	}
}

/** Addresses of the callers' ports of all live nodes, as one node knows them. */
export async function readLiveNodes(node: string): Promise<string[]> {
	const result = valibot.parse(membersSchema, await read(node, 'members'));
	return result.members.map(member => member.callers);
}

async function read(node: string, name: string): Promise<unknown> {
	const agent = new Agent({headersTimeout: answerMilliseconds, bodyTimeout: answerMilliseconds, maxResponseSize: maximumBytes});
	try {
		const response = await agent.request({
			origin: `http://${node}`, path: `/laburnumspool/v1/${name}`, method: 'GET', signal: AbortSignal.timeout(totalMilliseconds),
		});
		return await response.body.json();
	} finally {
		await agent.destroy();
	}
}
