/**
 * Organisations of a soak: their keys, and the callers that send other keys than the ordinary ones do.
 *
 * @module
 */
import {setTimeout as delay} from 'node:timers/promises';
import {v7 as newId} from 'uuid';
import {SoakCallers, type SoakPhase, type SoakResult} from './soak-clients.js';
import type {SoakKind} from './soak-kinds.js';
import type {Instance} from './system.js';

/** Names of the headers in the settings of the nodes. */
export const organisationHeaders = {organisationKey: 'x-key', organisation: 'x-organisation'};

const keyPrefix = 'soak-key-';

/** Headers that the upstreams record: the organisation, and any that contains a key. */
export const recordedHeaders = `^${organisationHeaders.organisation}: |${keyPrefix}`;

/** Organisation of the ordinary callers, without a quota. */
export const ordinaryOrganisation = 'lakeside-market';

/** Quota of the organisation whose callers send four times as many requests. */
export const quota = {requestsPerSecond: 5, burst: 5};

/** What a caller sends in place of the key of the ordinary organisation. */
export enum Credential {
	Missing = 'no key',
	Unknown = 'an unknown key',
	/** A key that a later version of the manifest lacks. */
	Withdrawn = 'a key that is withdrawn',
	/** The key of an organisation that sends more than its quota. */
	Limited = 'a key above its quota',
}

/** Organisation of a key; requests without one never reach an upstream. */
export const organisationByCredential: Readonly<Partial<Record<Credential, string>>> = {
	[Credential.Withdrawn]: 'former-partner',
	[Credential.Limited]: 'corner-shop',
};

/** End of a request with one of the credentials. */
export type IdentifiedResult = SoakResult & {readonly credential: Credential};

/** When the manifest without the withdrawn key was shipped first, and when its acceptance was reported; times as of `performance.now()`. */
export type Withdrawal = {readonly startedAt: number; readonly acceptedAt: number};

type Headers = Readonly<Record<string, string>>;

/** Callers try to choose an organisation themselves. */
const forgedHeaders: Headers = {[organisationHeaders.organisation]: 'forged'};

const keyOf = (organisation: string): string => `${keyPrefix}${organisation}`;
const toHeaders = (organisation: string): Headers => ({[organisationHeaders.organisationKey]: keyOf(organisation), ...forgedHeaders});

/** Headers of the ordinary callers. */
export const ordinaryHeaders = toHeaders(ordinaryOrganisation);

const headersByCredential: Readonly<Record<Credential, Headers>> = {
	[Credential.Missing]: forgedHeaders,
	[Credential.Unknown]: toHeaders('nobody'),
	[Credential.Withdrawn]: toHeaders(organisationByCredential[Credential.Withdrawn]!),
	[Credential.Limited]: toHeaders(organisationByCredential[Credential.Limited]!),
};

const intervalByCredential: Readonly<Record<Credential, number>> = {
	[Credential.Missing]: 500,
	[Credential.Unknown]: 500,
	[Credential.Withdrawn]: 150,
	[Credential.Limited]: 50,
};

/** Organisations of the manifest, by name. */
export function organisationsOf(isKeyWithdrawn: boolean): Readonly<Record<string, unknown>> {
	const withdrawn = organisationByCredential[Credential.Withdrawn]!;
	const limited = organisationByCredential[Credential.Limited]!;
	return {
		[ordinaryOrganisation]: {keys: [keyOf(ordinaryOrganisation)]},
		[withdrawn]: {keys: isKeyWithdrawn ? [] : [keyOf(withdrawn)]},
		[limited]: {keys: [keyOf(limited)], ...quota},
	};
}

/**
 * Callers with all credentials, which send to the nodes in turn.
 *
 * @example
 * const callers = new IdentifiedCallers(system.instances);
 * await callers.sendUntil(signal, windows, SoakPhase.Faults);
 */
export class IdentifiedCallers {
	readonly results: IdentifiedResult[] = [];
	readonly #callers: readonly SoakCallers[];

	constructor(instances: readonly Instance[]) {
		this.#callers = instances.map(({name, callersAddress}) => new SoakCallers(name, callersAddress));
	}

	/** Sends requests at the interval of each credential until the signal is aborted; resolves when all have ended. */
	async sendUntil(signal: AbortSignal, kind: SoakKind, phase: SoakPhase): Promise<void> {
		await Promise.all(Object.values(Credential).map(async credential => {
			const sent: Array<Promise<void>> = [];
			while (!signal.aborted) {
				sent.push(this.#send(this.#callers[sent.length % this.#callers.length]!, credential, kind, phase));
				await delay(intervalByCredential[credential]); // eslint-disable-line no-await-in-loop
			}

			await Promise.all(sent);
		}));
	}

	close(): void {
		this.#callers.map(callers => {
			callers.close();
			return callers;
		});
	}

	async #send(callers: SoakCallers, credential: Credential, kind: SoakKind, phase: SoakPhase): Promise<void> {
		const result = await callers.send(newId(), kind, phase, headersByCredential[credential]);
		this.results.push({...result, credential});
	}
}
