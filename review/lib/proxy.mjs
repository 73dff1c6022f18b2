// TCP proxy on a loopback address. `silence` makes the connections that are open now silent for good, in both directions and
// without a reset; new connections work. `reset` resets the open ones. `delay` holds bytes back.
import {createServer, connect} from 'node:net';

export async function startProxy({host, port, toHost, toPort}) {
	const pairs = new Set();
	const server = createServer(near => {
		const far = connect(toPort, toHost);
		const pair = {near, far, silent: false};
		pairs.add(pair);
		const link = (from, to) => {
			from.on('data', chunk => {
				if (!pair.silent) {
					to.write(chunk);
				}
			});
			from.on('end', () => {
				if (!pair.silent) {
					to.end();
				}
			});
			from.on('error', () => undefined);
			from.on('close', () => {
				if (!pair.silent) {
					to.destroy();
					pairs.delete(pair);
				}
			});
		};

		link(near, far);
		link(far, near);
	});
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	return {
		silence() {
			const open = [...pairs].filter(pair => !pair.silent);
			for (const pair of open) {
				pair.silent = true;
			}

			return open.length;
		},
		reset() {
			for (const {near, far} of pairs) {
				near.resetAndDestroy();
				far.destroy();
			}
		},
		count: () => pairs.size,
	};
}
