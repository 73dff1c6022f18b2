/**
 * Asks a running node where a request would go, and formats its explanation.
 *
 * @module
 */
export * from './ask.js';
export * from './format.js';
