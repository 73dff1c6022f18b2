/**
 * Settings of a node: the schema of the settings file, and its checks.
 *
 * @module
 */
import {readFileSync} from 'node:fs';
import {
	ErrorKind, LaburnumspoolError, memberHostSchema, memberNameSchema,
} from '@laburnumspool/core';
import {checkDocument, defaultManifestKey, parseYaml} from '@laburnumspool/manifest';
import * as valibot from 'valibot';
import {HeaderName} from './http-messages.js';
import {LogFormat} from './logs.js';
import {minimumStopMilliseconds} from './stop-times.js';

const portNumber = valibot.pipe(valibot.number(), valibot.integer(), valibot.minValue(1), valibot.maxValue(65_535));
/** A port number, or HOST:PORT, of which only the port is used. */
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
	/** Milliseconds: the timeout that a caller sets, and the time left that the upstream receives. */
	timeLeft: valibot.optional(headerName, HeaderName.Timeout),
	/** The caller's id of the request, which the upstream repeats in its answer. */
	requestId: valibot.optional(headerName),
	/** Key of the organisation that a caller sends. It is read at the entry node and never passed on. */
	organisationKey: valibot.optional(headerName),
	/** Name of the request's organisation, which the node sends to the upstream. It is removed from callers' requests. */
	organisation: valibot.optional(headerName),
	/** Incarnation of the upstream to which a request is addressed. */
	expectedInstance: valibot.optional(headerName),
	/** Service of the upstream beside the entry node. */
	callerService: valibot.optional(headerName),
	/** Incarnation that the upstream reports in its answer to a health check. */
	instance: valibot.optional(headerName),
	/** Running calls, waiting calls, slots and, optionally, the time that work takes now in percent of the usual one, in the upstream's answers. */
	load: valibot.optional(headerName),
	/** Marks an answer whose request the upstream did not execute. */
	notExecuted: valibot.optional(headerName),
	/** Marks an answer as sent by the upstream itself; a success without it is not accepted as the upstream's. */
	signature: valibot.optional(headerName),
});

/** Header names of a deployment; those without a default are not used unless they are set. */
export type HeaderNames = valibot.InferOutput<typeof headersSchema>;

const settingsFields = valibot.strictObject({
	name: memberNameSchema,
	region: text,
	failureDomain: text,
	host: memberHostSchema,
	ports: valibot.strictObject({
		callers: port,
		/** Calls of other nodes, TCP. */
		peers: port,
		/** Control calls of other nodes, TCP, and gossip, UDP. */
		control: port,
		/** Additional port for health checks of the platform, which the callers' port answers as well. */
		health: valibot.optional(port),
		/** Additional port for announcements of the upstream, which the callers' port accepts as well. */
		announcements: valibot.optional(port),
		/** Port for metrics, which the callers' port does not offer. */
		metrics: valibot.optional(port),
	}),
	/** The upstream beside the node, if it is known before it announces itself. Announcements of other upstreams are rejected. */
	upstream: valibot.optional(valibot.object({service: text, address})),
	/** Header names other than the defaults, and names of optional headers. */
	headers: valibot.optional(headersSchema, {}),
	store: valibot.strictObject({
		url,
		/** Key of the manifest in the store. */
		manifestKey: valibot.optional(text, defaultManifestKey),
		/** Time after the last confirmation that the active manifest is the newest at which the node reads the store itself. */
		manifestAgeMilliseconds: valibot.optional(positive, 1900),
		leaseSeconds: valibot.optional(positive, 60),
		/** Longest time for which the node serves key ranges after the store last confirmed its lease. */
		workWithoutSeconds: valibot.optional(positive, 600),
	}),
	/** Control addresses of nodes to contact while the store is unavailable. */
	seeds: valibot.optional(valibot.array(address), []),
	/** Control calls between nodes, for key ranges and the time line. Without them the node accepts no keyed work. */
	controlCalls: valibot.optional(valibot.boolean(), true),
	statsd: valibot.optional(valibot.strictObject({host: text, port})),
	logFormat: valibot.optional(valibot.enum(LogFormat), LogFormat.Sentence),
	logLevel: valibot.optional(valibot.picklist(['error', 'warn', 'info', 'debug']), 'info'),
	limits: valibot.optional(valibot.strictObject({
		requestBytes: valibot.optional(positive, 1024 * 1024),
		openRequests: valibot.optional(positive, 10_000),
		/** Memory for bodies. It is raised to 1.25 times the largest body that is accepted. */
		heldBytes: valibot.optional(positive, 96 * 1024 * 1024),
		/** Time without data after which a body loses its memory to another one, while memory is short. */
		stalledBodyMilliseconds: valibot.optional(positive, 1000),
		/** Connections of callers. The default leaves 1,100 of the 4,100 descriptors of the smallest VM to peers, store and upstream. */
		callerConnections: valibot.optional(positive, 3000),
		slowSenderSeconds: valibot.optional(positive, 10),
		claims: valibot.optional(positive, 50_000),
		claimAnswerBytes: valibot.optional(positive, 16 * 1024 * 1024),
		events: valibot.optional(positive, 20_000),
	}), {}),
	admission: valibot.optional(valibot.strictObject({
		/** Whether the concurrency limit follows measured latency; otherwise it is the used share of the announced slots. */
		adaptiveLimit: valibot.optional(valibot.boolean(), true),
		/** Largest used share of the announced slots; upstreams slow down when they are nearly full. */
		slotShare: valibot.optional(share, 1),
		/** Whether callers' requests that most probably fail further down the call chain are refused at this node. */
		earlyRefusal: valibot.optional(valibot.boolean(), false),
	}), {}),
	placement: valibot.optional(valibot.strictObject({
		/** Whether serving nodes are chosen by the expected end of calls, for services whose upstreams report their speed in `headers.load`. */
		costAware: valibot.optional(valibot.boolean(), false),
	}), {}),
	/** Retry budget towards one service: `burst` is its initial and largest balance, `share` the part of a retry that a success earns. */
	retries: valibot.optional(valibot.strictObject({
		burst: valibot.optional(valibot.pipe(valibot.number(), valibot.minValue(0)), 10),
		share: valibot.optional(share),
		/** Part of an offer to another upstream, after one refused a call without running it, that a success earns; by default as `share`. */
		offerShare: valibot.optional(share),
	}), {}),
	membership: valibot.optional(valibot.strictObject({
		probeMilliseconds: valibot.optional(positive, 1000),
		suspicionMilliseconds: valibot.optional(positive, 3000),
		exchangeMilliseconds: valibot.optional(positive, 10_000),
	}), {}),
	/** Largest difference between the clocks that generate keys and the clocks of the VMs. */
	clockErrorMilliseconds: valibot.optional(positive, 5000),
	/** Time after the start of a planned stop in which new requests are served, for callers that are not rerouted yet. */
	lingerMilliseconds: valibot.optional(valibot.pipe(valibot.number(), valibot.minValue(0)), 0),
	/** Longest duration of a planned stop. Its last second is not available to new requests. */
	stopSeconds: valibot.optional(valibot.pipe(valibot.number(), valibot.minValue(minimumStopMilliseconds / 1000)), 60),
	/** Part of `stopSeconds` that a stop leaves unused, for a platform that kills the process at the end of that time. */
	stopMarginMilliseconds: valibot.optional(valibot.pipe(valibot.number(), valibot.minValue(0)), 0),
});

/** Schema of the settings file. */
export const settingsSchema = valibot.pipe(settingsFields, valibot.forward(
	valibot.check(
		({lingerMilliseconds, stopSeconds, stopMarginMilliseconds}) => lingerMilliseconds + minimumStopMilliseconds <= (stopSeconds * 1000) - stopMarginMilliseconds,
		`Expected at most stopSeconds less stopMarginMilliseconds and ${minimumStopMilliseconds} ms`,
	),
	['lingerMilliseconds'],
));

/** Checked settings. */
export type Settings = valibot.InferOutput<typeof settingsSchema>;

/**
 * Reads a settings file; throws `invalid-settings` with file, line and path of each invalid value, or if the file cannot be read.
 *
 * @example
 * const settings = readSettings('node.yaml');
 */
export function readSettings(file: string): Settings {
	return parseSettings(file, readText(file));
}

/** Parses the text of a settings file; throws `invalid-settings` as `readSettings` does. */
export function parseSettings(file: string, text: string): Settings {
	return checkDocument(parseYaml(text, file, ErrorKind.InvalidSettings), settingsSchema, ErrorKind.InvalidSettings);
}

/** Checks settings that are an object instead of a file; throws `invalid-settings`. */
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
