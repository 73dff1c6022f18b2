/**
 * Wire formats between nodes.
 *
 * @module
 */
export * from './call-codec.js';
export * from './control-codec.js';
export * from './quota-codec.js';
export * from './view-codec.js';
export * from './frames.js';
export * from './large-frame.js';
export type {MessageParts} from './message-head.js';
export * from './stream-codec.js';
export * from './string-table.js';
