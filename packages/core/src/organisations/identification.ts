/**
 * Identification of requests: by the key that a caller sends, or by the parent call of a nested call.
 *
 * @module
 */
import {ErrorKind} from '../errors.js';
import type {
	CallError, CallFrame, RawHeaders, RequestPayload,
} from '../messages.js';
import type {OrganisationIndex} from './organisation-index.js';

/** Value of `CallerRequest.organisationKey` for a key header that is empty, doubled or joined. It is never a valid key. */
export const unusableKey = '';

/** Organisations in force and the header that names them, on which the identification depends. */
export type IdentificationContext = {
	/** Organisations of the active manifest; undefined when it has none and no request needs a key. */
	readonly organisations: OrganisationIndex | undefined;
	/** Header, in lower case, that names the organisation to upstreams and between nodes; undefined when it is not set. */
	readonly organisationHeader: string | undefined;
};

/** What the identification of a request depends on. */
export type IdentifiedRequest = {
	/** Key that the request carries; undefined when it carries none. */
	readonly key: string | undefined;
	readonly isPublic: boolean;
	/** Route that an error names. */
	readonly route: string;
	/** Running call on whose behalf an upstream makes the request; undefined for a caller's request. */
	readonly parent: Pick<CallFrame, 'request'> | undefined;
	/** Whether the request names a parent call, be it known at this node or not. */
	readonly namesParent: boolean;
};

/** Organisation of an accepted request. Name and rank are undefined when it has none. */
export type Identity = {
	readonly success: true;
	readonly organisation: string | undefined;
	/** Rank of the organisation. A nested call has none, since it inherits the priority of its parent. */
	readonly rank: number | undefined;
};

export type IdentityResult = Identity | {readonly success: false; readonly error: CallError};

const noOrganisation: Identity = {success: true, organisation: undefined, rank: undefined};

/**
 * Whether a request is treated as a nested call of a running call. Upstreams never receive a key, so a request that carries
 * one comes from a caller, whatever its request id and trace context say.
 */
export function mayBeNested(key: string | undefined, {organisations}: IdentificationContext): boolean {
	return organisations === undefined || key === undefined;
}

/**
 * Identifies the organisation of a request, or returns the error `unauthenticated`. No error contains the key. A nested call
 * whose parent is unknown, as after a restart of the node beside a running upstream, is proper and gets `not-ready`.
 *
 * @example
 * identify({key: 'k1', isPublic: false, route: 'orders', parent: undefined, namesParent: false}, context);
 * // {success: true, organisation: 'pulo780', rank: 1}
 */
export function identify(request: IdentifiedRequest, context: IdentificationContext): IdentityResult {
	if (request.parent !== undefined) {
		return identifyByParent(request.parent, context.organisationHeader);
	}

	return context.organisations === undefined || request.isPublic ? noOrganisation : identifyByKey(request, context.organisations);
}

/**
 * Organisation that the headers of a call name. Entry nodes remove the header from callers' requests and set it themselves.
 *
 * @example
 * organisationOf(['accept', 'a/b', 'x-organisation', 'pulo780'], 'x-organisation'); // 'pulo780'
 */
export function organisationOf(headers: RawHeaders, organisationHeader: string): string | undefined {
	const position = headers.findIndex((name, index) => index % 2 === 0 && name === organisationHeader);
	return position === -1 ? undefined : headers[position + 1];
}

/** Adds the header that names the organisation; the request unchanged when there is none. */
export function withOrganisation(request: RequestPayload, organisation: string | undefined, organisationHeader: string | undefined): RequestPayload {
	return organisation === undefined || organisationHeader === undefined
		? request
		: {...request, headers: [...request.headers, organisationHeader, organisation]};
}

/** The entry node of the parent call has put the organisation into the headers of the call, which reach its serving node. */
function identifyByParent(parent: Pick<CallFrame, 'request'>, organisationHeader: string | undefined): Identity {
	return organisationHeader === undefined
		? noOrganisation
		: {success: true, organisation: organisationOf(parent.request.headers, organisationHeader), rank: undefined};
}

function identifyByKey({key, route, namesParent}: IdentifiedRequest, organisations: OrganisationIndex): IdentityResult {
	if (key === undefined && namesParent) {
		return {success: false, error: {kind: ErrorKind.NotReady, detail: `Route ${route} is not public, and the parent call that the request names does not run at this node`}};
	}

	if (key === undefined) {
		return unauthenticated(`Route ${route} is not public, and the request carries no key`);
	}

	if (key === unusableKey) {
		return unauthenticated('The key of the request is empty, doubled or joined');
	}

	const organisation = organisations.find(key);
	return organisation === undefined
		? unauthenticated('The key of the request belongs to no organisation')
		: {success: true, organisation: organisation.name, rank: organisation.rank};
}

function unauthenticated(detail: string): IdentityResult {
	return {success: false, error: {kind: ErrorKind.Unauthenticated, detail}};
}
