import {rmSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {test, type Test} from 'tap';
import type {Logger} from '../index.js';
import {SettingsWatch} from '../settings-watch.js';
import {readSettings} from '../settings.js';

const text = (region: string): string => `{name: n, region: ${region}, failureDomain: f, host: 127.0.0.1, ports: {callers: 1, peers: 2, control: 3}, store: {url: "http://127.0.0.1:4"}}`;

function start(t: Test): {file: string; watch: SettingsWatch; lines: string[]} {
	const file = join(t.testdir(), 'node.yaml');
	writeFileSync(file, text('r'));
	const lines: string[] = [];
	const record = (message: string): void => {
		lines.push(message);
	};

	const log: Logger = {
		error: record, warn: record, info: record, debug: record,
	};
	return {file, watch: new SettingsWatch(file, readSettings(file), log), lines};
}

test('a change of the file is logged once without a signal, and so is the change back', async t => {
	const {file, watch, lines} = start(t);
	watch.poll();
	t.same(lines, []);
	writeFileSync(file, text('other'));
	watch.poll();
	watch.poll();
	t.match(lines, [/changed settings/u]);
	writeFileSync(file, text('r'));
	watch.poll();
	t.match(lines, [/changed settings/u, /no change/u]);
});

test('invalid settings are logged with their error; a missing file is logged only on a signal', async t => {
	const {file, watch, lines} = start(t);
	writeFileSync(file, '{name: n}');
	watch.poll();
	t.match(lines, [/keeps the active settings: .*node\.yaml/u]);
	rmSync(file);
	watch.poll();
	t.equal(lines.length, 1);
	watch.recheck();
	t.match(lines[1], /cannot be read/u);
});
