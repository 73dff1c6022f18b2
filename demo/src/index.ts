export * from './processes.js';
export * from './system.js';
