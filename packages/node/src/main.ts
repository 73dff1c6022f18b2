#!/usr/bin/env node
/**
 * The node daemon.
 *
 * @module
 */
import process from 'node:process';
import {runNode} from './run.js';

await runNode(process.argv);
