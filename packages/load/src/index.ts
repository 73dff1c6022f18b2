/**
 * Open-loop load generation and the evaluation of its results.
 *
 * @module
 */
export * from './arrivals.js';
export * from './profile.js';
export * from './results.js';
export * from './runner.js';
export * from './table.js';
