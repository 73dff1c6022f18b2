// What the node uses of undici. Its index also loads fetch, web sockets, caches and mocks, a fifth of a start.
import * as requests from 'undici/lib/api/index.js';
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';

Object.assign(Dispatcher.prototype, requests.default);

export {default as Agent} from 'undici/lib/dispatcher/agent.js';
export {default as Pool} from 'undici/lib/dispatcher/pool.js';
export {default as buildConnector} from 'undici/lib/core/connect.js';
