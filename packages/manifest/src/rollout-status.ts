/**
 * Reads from the nodes which manifest revision is active on them.
 *
 * @module
 */
import {Agent} from 'undici';
import * as valibot from 'valibot';

const answerTimeoutMilliseconds = 2000;
const requestTimeoutMilliseconds = 10_000;
const maximumAnswerBytes = 16 * 1024 * 1024;

const membersSchema = valibot.object({
	members: valibot.array(valibot.object({name: valibot.string(), callers: valibot.string()})),
});
const healthSchema = valibot.object({revision: valibot.number()});

/** Progress of the rollout of a revision. */
export type RolloutStatus = {
	/** Number of nodes on which this revision or a newer one is active. */
	readonly activeCount: number;
	readonly liveCount: number;
	/** Addresses of the other live nodes. */
	readonly outdatedNodes: readonly string[];
};

/**
 * Reads from each node which revision is active on it. A node without a valid answer in time counts as revision 0.
 *
 * @param nodes - addresses of the callers' ports, such as `127.0.0.1:7001`
 * @example
 * const {outdatedNodes} = await readRolloutStatus(await readLiveNodes('127.0.0.1:7001'), 7);
 */
export async function readRolloutStatus(nodes: readonly string[], revision: number): Promise<RolloutStatus> {
	const entries = await Promise.all(nodes.map(async node => ({node, revision: await readActiveRevision(node)})));
	const outdatedNodes = entries.filter(entry => entry.revision < revision).map(entry => entry.node);
	return {activeCount: nodes.length - outdatedNodes.length, liveCount: nodes.length, outdatedNodes};
}

async function readActiveRevision(node: string): Promise<number> {
	try {
		const result = valibot.safeParse(healthSchema, await readResource(node, 'health'));
		return result.success ? result.output.revision : 0;
	} catch {
		return 0;
	}
}

/** Reads the addresses of the callers' ports of all live nodes from one node; rejects if that node sends no valid list in time. */
export async function readLiveNodes(node: string): Promise<string[]> {
	const result = valibot.parse(membersSchema, await readResource(node, 'members'));
	return result.members.map(member => member.callers);
}

async function readResource(node: string, name: string): Promise<unknown> {
	const agent = new Agent({
		headersTimeout: answerTimeoutMilliseconds, bodyTimeout: answerTimeoutMilliseconds, maxResponseSize: maximumAnswerBytes,
	});
	try {
		const response = await agent.request({
			origin: `http://${node}`, path: `/laburnumspool/v1/${name}`, method: 'GET', signal: AbortSignal.timeout(requestTimeoutMilliseconds),
		});
		return await response.body.json();
	} finally {
		await agent.destroy();
	}
}
