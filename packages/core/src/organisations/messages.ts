/**
 * Messages between the nodes that admit requests of organisations and the owners of their quotas.
 *
 * @module
 */

export enum QuotaMessageType {
	Report = 1,
	Reply = 2,
}

/** Identifies one part of an organisation's quota: each part has its own owner. */
type QuotaPart = {readonly organisation: string; readonly part: number};

/** Use of one part of a quota at a node. All counts are cumulative within the series, so that a repeated report has no effect. */
export type QuotaUse = QuotaPart & {
	/** Number of the account at the node; a new owner or quota begins a new series. At least 1. */
	readonly series: number;
	/** Tokens that the owner has granted, as far as the node knows; 0 until the first reply. */
	readonly granted: number;
	/** Tokens taken: by admitted requests, and unused tokens that go back to the owner. */
	readonly used: number;
	/** Tokens given back: unused ones, and those of requests that did not run. */
	readonly returned: number;
	/** Requests that asked for admission. */
	readonly asked: number;
};

/** Grant of an owner to one node. */
export type QuotaGrant = QuotaPart & {
	/** Series of the report; 0 for a notice about `isLow`, which is sent without a report. */
	readonly series: number;
	/** Tokens granted since the start of the series. */
	readonly granted: number;
	/** Requests per second that the node can expect, by its share of the demand. */
	readonly rate: number;
	/** Milliseconds until the owner expects to have a token for the node; 0 when the grant has one. */
	readonly waitMilliseconds: number;
	/** Whether the owner has so few tokens that nodes should admit fewer requests in advance. */
	readonly isLow: boolean;
};

type QuotaHeader = {
	/** Name of the sending node. */
	readonly sender: string;
	readonly incarnation: number;
	/** Incarnation of the receiver that is meant; another one ignores the message. */
	readonly toIncarnation: number;
	/** Increases with each report of a node's incarnation; a reply repeats the stamp of its report. */
	readonly stamp: number;
};

export type QuotaReport = QuotaHeader & {readonly type: QuotaMessageType.Report; readonly uses: readonly QuotaUse[]};
export type QuotaReply = QuotaHeader & {readonly type: QuotaMessageType.Reply; readonly grants: readonly QuotaGrant[]};

/** Content of one quota datagram. */
export type QuotaMessage = QuotaReport | QuotaReply;
