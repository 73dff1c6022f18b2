#!/usr/bin/env node
// Starts the compiled program. This file is not compiled, so npm can link the command before the first build.
await import('../dist/main.js');
