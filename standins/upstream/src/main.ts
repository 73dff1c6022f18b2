/**
 * Command that runs an upstream stand-in from a YAML definition until SIGTERM.
 *
 * @module
 */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {cac} from 'cac';
import {parse} from 'yaml';
import {UpstreamServer, type UpstreamDefinition} from './upstream-server.js';

const cli = cac('standin-upstream');
cli.option('--definition <file>', 'Service, slots and behaviours in YAML');
cli.option('--port <port>', 'Port to listen on', {default: 0});
const {options} = cli.parse();
const definition = parse(readFileSync(String(options.definition), 'utf8')) as UpstreamDefinition;
const server = new UpstreamServer(definition);
await server.listen(Number(options.port));
server.announce('ready');
process.stdout.write(`upstream: ready on port ${server.port}\n`);
process.on('SIGTERM', () => {
	void server.close();
});
