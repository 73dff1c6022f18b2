import {rmSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {test, type Test} from 'tap';
import type {PartLog} from '../index.js';
import {SettingsWatch} from '../settings-watch.js';
import {readSettings} from '../settings.js';

const text = (region: string): string => `{name: n, region: ${region}, failureDomain: f, host: 127.0.0.1, ports: {callers: 1, peers: 2, control: 3}, store: {url: "http://127.0.0.1:4"}}`;

function start(t: Test): {file: string; watch: SettingsWatch; lines: string[]} {
	const file = join(t.testdir(), 'node.yaml');
	writeFileSync(file, text('r'));
	const lines: string[] = [];
	const note = (message: string): void => {
		lines.push(message);
	};

	const log: PartLog = {
		error: note, warn: note, info: note, debug: note,
	};
	return {file, watch: new SettingsWatch(file, readSettings(file), log), lines};
}

test('a change without a signal is told once, and so is the way back', async t => {
	const {file, watch, lines} = start(t);
	watch.look();
	t.same(lines, []);
	writeFileSync(file, text('other'));
	watch.look();
	watch.look();
	t.match(lines, [/changed settings/u]);
	writeFileSync(file, text('r'));
	watch.look();
	t.match(lines, [/changed settings/u, /no change/u]);
});

test('settings that cannot hold are told with the mistake, and a file that is away for a moment is not', async t => {
	const {file, watch, lines} = start(t);
	writeFileSync(file, '{name: n}');
	watch.look();
	t.match(lines, [/goes on with its settings: .*node\.yaml/u]);
	rmSync(file);
	watch.look();
	t.equal(lines.length, 1);
	watch.readAgain();
	t.match(lines[1], /cannot be read/u);
});
