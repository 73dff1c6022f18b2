/**
 * Command that runs the store stand-in until SIGTERM.
 *
 * @module
 */
import process from 'node:process';
import {cac} from 'cac';
import {StoreServer} from './store-server.js';

const cli = cac('standin-store');
cli.option('--port <port>', 'Port to listen on', {default: 0});
const {options} = cli.parse();
const server = new StoreServer();
await server.listen(Number(options.port), '127.0.0.1');
process.stdout.write(`store: ready on port ${server.port}\n`);
process.on('SIGTERM', () => {
	void server.close();
});
