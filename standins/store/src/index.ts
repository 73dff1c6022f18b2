export * from './store-server.js';
export * from './store-state.js';
