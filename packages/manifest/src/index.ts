/**
 * Parsing, storing and shipping of manifests, and the command-line helpers that all binaries share.
 *
 * @module
 */
export * from './command-line.js';
export * from './document.js';
export * from './http-store.js';
export * from './json-client.js';
export * from './manifest-document.js';
export * from './rollout-status.js';
export * from './ship.js';
export * from './shipped-manifest.js';
export * from './store.js';
