// What the node uses of prom-client. Its index also loads metrics of the process and of a cluster of processes.
export {default as Counter} from 'prom-client/lib/counter.js';
export {default as Gauge} from 'prom-client/lib/gauge.js';
export {default as Histogram} from 'prom-client/lib/histogram.js';
export {default as Registry} from 'prom-client/lib/registry.js';
