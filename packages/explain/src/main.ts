#!/usr/bin/env node
/**
 * The operators' command that asks a node where a request would go.
 *
 * @module
 */
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {ErrorKind, LaburnumspoolError} from '@laburnumspool/core';
import {ExitCode, runCommandLine, version} from '@laburnumspool/manifest';
import {cac} from 'cac';
import {askNode} from './ask.js';
import {formatExplanation} from './format.js';
import {readQuestion, textOption, type Options} from './question.js';

async function explain(path: string, options: Options & {readonly json?: boolean}): Promise<ExitCode> {
	const parameters = process.argv.slice(2);
	const node = textOption(parameters, '--node');
	if (node === undefined || !/^[^:/\s]+:\d{1,5}$/u.test(node)) {
		throw new LaburnumspoolError(ErrorKind.Malformed, '--node: expected the address of the port of a node\'s metrics, HOST:PORT');
	}

	const question = await readQuestion(path, options, parameters, async () => text(process.stdin));
	const explanation = await askNode(node, question);
	process.stdout.write(`${options.json === true ? JSON.stringify(explanation, undefined, '\t') : formatExplanation(explanation)}\n`);
	return ExitCode.Success;
}

const cli = cac('laburnumspool-explain');
cli.command('<path>', 'Print where a request would go now, and why, without sending it')
	.option('--node <address>', 'Address HOST:PORT of the port of the node\'s metrics (ports.metrics)')
	.option('--method <method>', 'Method of the request (default: GET)')
	.option('--host <host>', 'Host of the request, for a manifest of routes')
	.option('--key-file <file>', 'File with the key of the organisation')
	.option('--key-stdin', 'Read the key of the organisation from standard input')
	.option('--time-left <milliseconds>', 'Time left that the caller states')
	.option('--body-bytes <bytes>', 'Length of the body (default: 0)')
	.option('--idempotency-key <key>', 'Idempotency key')
	.option('--request-id <id>', 'Id of the request; PARENT.OWN for a call that the upstream makes')
	.option('--traceparent <value>', 'Header traceparent, whose trace id decides the priority within an importance')
	.option('--tracestate <value>', 'Header tracestate')
	.option('--json', 'Print JSON instead of text')
	.action(explain);
cli.help();
cli.version(version);
await runCommandLine(cli, process.argv);
