/**
 * Settings of a node.
 *
 * @module
 */
import {readFileSync} from 'node:fs';
import {ErrorKind, LaburnumspoolError} from '@laburnumspool/core';
import {checkDocument, manifestKey, parseYaml} from '@laburnumspool/manifest';
import * as valibot from 'valibot';
import {HeaderName} from './http-messages.js';
import {LogFormat} from './logs.js';

const portNumber = valibot.pipe(valibot.number(), valibot.integer(), valibot.minValue(1), valibot.maxValue(65_535));
/** A port, or HOST:PORT of which the port counts. */
const port = valibot.union([
	portNumber,
	valibot.pipe(valibot.string(), valibot.regex(/^[^:\s]+:\d{1,5}$/u, 'Expected a port or HOST:PORT'), valibot.transform(value => Number(value.slice(value.lastIndexOf(':') + 1))), portNumber),
]);
const positive = valibot.pipe(valibot.number(), valibot.integer(), valibot.minValue(1));
const share = valibot.pipe(valibot.number(), valibot.minValue(0), valibot.maxValue(1));
const text = valibot.pipe(valibot.string(), valibot.minLength(1));
const address = valibot.pipe(valibot.string(), valibot.regex(/^[^:\s]+:\d{1,5}$/u, 'Expected HOST:PORT'));
const url = valibot.pipe(valibot.string(), valibot.url('Expected a URL'));

const headerName = valibot.pipe(valibot.string(), valibot.regex(/^[a-z\d-]+$/u, 'Expected a header name in lower case'));

const headersSchema = valibot.strictObject({
	/** Time that the caller gives, and time left for the upstream, in milliseconds. */
	timeLeft: valibot.optional(headerName, HeaderName.Timeout),
	/** The caller's own name for the request, which the upstream repeats in its answer. */
	requestId: valibot.optional(headerName),
	/** Incarnation of the upstream for which a request is meant. */
	expectedInstance: valibot.optional(headerName),
	/** Service beside the node at which the request began. */
	callerService: valibot.optional(headerName),
	/** Incarnation that an upstream names in its health answer. */
	instance: valibot.optional(headerName),
	/** Running and waiting calls and slots of the upstream, in its answers. */
	load: valibot.optional(headerName),
	/** Mark of an answer whose request was not run. */
	notExecuted: valibot.optional(headerName),
	/** Mark without which a success is not the upstream's own. */
	signature: valibot.optional(headerName),
});

/** Names of headers. */
export type HeaderNames = valibot.InferOutput<typeof headersSchema>;

/** Schema of the settings file. */
export const settingsSchema = valibot.strictObject({
	name: valibot.pipe(valibot.string(), valibot.regex(/^[a-z\d][a-z\d-]{0,62}$/u, 'Expected a name of lower-case letters, digits and hyphens')),
	region: text,
	failureDomain: text,
	host: text,
	ports: valibot.strictObject({
		callers: port,
		/** Calls between nodes, TCP. */
		peers: port,
		/** Control between nodes, TCP and UDP. */
		control: port,
		/** Health for the platform, beside the callers' port. */
		health: valibot.optional(port),
		/** Announcements of the upstream, beside the callers' port. */
		announcements: valibot.optional(port),
		metrics: valibot.optional(port),
	}),
	/** The upstream beside the node, where it is known before it announces itself; announcements of others are passed over. */
	upstream: valibot.optional(valibot.object({service: text, address})),
	/** Names of headers that differ from the standard ones, or that are not used without a name. */
	headers: valibot.optional(headersSchema, {}),
	store: valibot.strictObject({
		url,
		/** Key of the manifest. */
		manifestKey: valibot.optional(text, manifestKey),
		leaseSeconds: valibot.optional(positive, 60),
		/** Longest time for which key ranges are served after the store's last confirmation. */
		workWithoutSeconds: valibot.optional(positive, 600),
	}),
	/** Control addresses to try while the store does not answer. */
	seeds: valibot.optional(valibot.array(address), []),
	/** Remote procedure calls between nodes: whole views, key ranges and the time line. Without them no keyed work is taken. */
	controlCalls: valibot.optional(valibot.boolean(), true),
	statsd: valibot.optional(valibot.strictObject({host: text, port})),
	logFormat: valibot.optional(valibot.enum(LogFormat), LogFormat.Sentence),
	logLevel: valibot.optional(valibot.picklist(['error', 'warn', 'info', 'debug']), 'info'),
	limits: valibot.optional(valibot.strictObject({
		requestBytes: valibot.optional(positive, 1024 * 1024),
		openRequests: valibot.optional(positive, 10_000),
		slowSenderSeconds: valibot.optional(positive, 10),
		claims: valibot.optional(positive, 50_000),
		claimAnswerBytes: valibot.optional(positive, 16 * 1024 * 1024),
		events: valibot.optional(positive, 20_000),
	}), {}),
	admission: valibot.optional(valibot.strictObject({
		/** Whether the limit follows measured latency; else it is the share of the announced slots. */
		adaptiveLimit: valibot.optional(valibot.boolean(), true),
		/** Share of the announced slots that is used at most: upstreams slow down when they are nearly full. */
		slotShare: valibot.optional(share, 1),
	}), {}),
	/** Retries towards one service beyond those that its successes earn, and the share of a retry that a success earns. */
	retries: valibot.optional(valibot.strictObject({
		burst: valibot.optional(valibot.pipe(valibot.number(), valibot.minValue(0)), 10),
		share: valibot.optional(share),
	}), {}),
	membership: valibot.optional(valibot.strictObject({
		probeMilliseconds: valibot.optional(positive, 1000),
		suspicionMilliseconds: valibot.optional(positive, 3000),
		exchangeMilliseconds: valibot.optional(positive, 10_000),
	}), {}),
	/** Bound on the difference between the clocks that make keys and those of the VMs. */
	clockErrorMilliseconds: valibot.optional(positive, 5000),
	/** Time for which callers on their way are still taken after a planned stop began. */
	lingerMilliseconds: valibot.optional(valibot.pipe(valibot.number(), valibot.minValue(0)), 0),
	/** Longest time for a planned stop. */
	stopSeconds: valibot.optional(positive, 60),
});

/** Checked settings. */
export type Settings = valibot.InferOutput<typeof settingsSchema>;

/**
 * Reads a settings file; throws `invalid-settings` with file, line and path of each mistake.
 *
 * @example
 * const settings = readSettings('node.yaml');
 */
export function readSettings(file: string): Settings {
	return parseSettings(file, readText(file));
}

/** Checks the text of a settings file; throws as `readSettings` does. */
export function parseSettings(file: string, text: string): Settings {
	return checkDocument(parseYaml(text, file, ErrorKind.InvalidSettings), settingsSchema, ErrorKind.InvalidSettings);
}

/** Checks settings that are no file; throws `invalid-settings`. */
export function checkSettings(settings: unknown): Settings {
	return checkDocument({file: 'settings', value: settings, locate: () => ({line: 1, column: 1})}, settingsSchema, ErrorKind.InvalidSettings);
}

function readText(file: string): string {
	try {
		return readFileSync(file, 'utf8');
	} catch (error) {
		throw new LaburnumspoolError(ErrorKind.InvalidSettings, `${file}: cannot be read`, {cause: error});
	}
}
