/**
 * The node as a library: the tasks around the core.
 *
 * @module
 */
export * from './announcements.js';
export * from './core-task.js';
export * from './daemon.js';
export * from './logs.js';
export * from './mailbox.js';
export * from './run.js';
export * from './settings.js';
