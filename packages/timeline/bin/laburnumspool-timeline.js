#!/usr/bin/env node
// Starts the built program; it is here so that the command exists before the first build.
await import('../dist/main.js');
