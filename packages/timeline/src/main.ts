#!/usr/bin/env node
/**
 * Command line of the time line tool.
 *
 * @module
 */
import process from 'node:process';
import {ErrorKind, EventType, LaburnumspoolError} from '@laburnumspool/core';
import {ExitCode, runCommandLine, version} from '@laburnumspool/manifest';
import {cac} from 'cac';
import {collectEvents} from './collect.js';
import {formatEvents, mergeEvents, TimelineFormat} from './merge.js';

type Options = {
	readonly node?: string | string[];
	readonly format?: string;
	readonly action?: string;
	readonly from?: string;
	readonly type?: string | string[];
	readonly only?: boolean;
};

function parseEnumValue<Value extends string>(values: Readonly<Record<string, Value>>, text: string, option: string): Value {
	const found = Object.values(values).find(value => value === text);
	if (found === undefined) {
		throw new LaburnumspoolError(ErrorKind.Malformed, `${option}: unknown value ${JSON.stringify(text)}, expected one of ${Object.values(values).join(', ')}`);
	}

	return found;
}

async function printTimeline(options: Options): Promise<ExitCode> {
	const addresses = [options.node ?? []].flat();
	if (addresses.length === 0) {
		throw new LaburnumspoolError(ErrorKind.Malformed, '--node: expected the control address of a node, HOST:PORT');
	}

	const format = parseEnumValue(TimelineFormat, options.format ?? TimelineFormat.Text, '--format');
	const types = options.type === undefined ? undefined : [options.type].flat().map(type => parseEnumValue(EventType, type, '--type'));
	const collected = await collectEvents(addresses, options.only !== true);
	const events = mergeEvents(collected.sources, {action: options.action, node: options.from, types});
	process.stdout.write(`${formatEvents(events, format)}\n`);
	collected.unansweredAddresses.map(address => process.stderr.write(`laburnumspool-timeline: ${address} did not answer\n`));
	if (collected.droppedCount > 0) {
		process.stderr.write(`laburnumspool-timeline: ${collected.droppedCount} older events no longer fitted into the nodes' memory\n`);
	}

	return collected.unansweredAddresses.length === 0 ? ExitCode.Success : ExitCode.Failure;
}

const cli = cac('laburnumspool-timeline');
cli.command('', 'Print the events of all nodes as one time line')
	.option('--node <address>', 'Control address of a node; may be given more than once')
	.option('--only', 'Read only the given nodes, not the other members that they report')
	.option('--format <format>', 'Output format: text (default), json or trace')
	.option('--action <id>', 'Print only events of this customer action')
	.option('--from <name>', 'Print only events of this node')
	.option('--type <type>', 'Print only events of this type; may be given more than once')
	.action(printTimeline);
cli.help();
cli.version(version);
await runCommandLine(cli, process.argv);
