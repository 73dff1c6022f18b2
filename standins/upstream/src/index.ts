export * from './faulty-answers.js';
export * from './upstream-server.js';
