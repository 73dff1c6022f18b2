/**
 * Counts the copied bytes of a program that is started with `--import` of this module, and prints them when it exits.
 *
 * @module
 */
import {writeSync} from 'node:fs';
import process from 'node:process';
import {countCopies} from './copy-counter.js';

const readCopiedBytes = countCopies();
process.once('exit', () => {
	writeSync(process.stdout.fd, `copied bytes: ${readCopiedBytes()}\n`);
});
