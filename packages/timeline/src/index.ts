/**
 * Merges the events of several nodes into one time line.
 *
 * @module
 */
export * from './merge.js';
