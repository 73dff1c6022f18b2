/**
 * Detects and logs changes of the settings file while the node runs, by polling and on a signal.
 *
 * @module
 */
import {readFileSync} from 'node:fs';
import type {Logger} from './logs.js';
import {parseSettings, type Settings} from './settings.js';

/** Poll interval of the file. A change takes effect only at the next start, so a short delay does no harm. */
export const settingsPollMilliseconds = 2000;

/**
 * Checks and logs a changed settings file. A running node keeps its settings, because its place and its ports cannot change.
 *
 * @example
 * const watch = new SettingsWatch('node.yaml', settings, log);
 * setInterval(() => watch.poll(), settingsPollMilliseconds);
 * process.on('SIGHUP', () => watch.recheck());
 */
export class SettingsWatch {
	readonly #file: string;
	readonly #activeSettings: string;
	readonly #log: Logger;
	#lastText: string;

	constructor(file: string, settings: Settings, log: Logger) {
		this.#file = file;
		this.#activeSettings = JSON.stringify(settings);
		this.#log = log;
		this.#lastText = this.#tryRead() ?? '';
	}

	/** Checks the file and logs the result if its text changed since it was last read. */
	poll(): void {
		const text = this.#tryRead();
		if (text !== undefined && text !== this.#lastText) {
			this.#check(text);
		}
	}

	/** Checks the file and logs the result, changed or not; logs an error if the file cannot be read. */
	recheck(): void {
		const text = this.#tryRead();
		if (text === undefined) {
			this.#log.error(`keeps the active settings: ${this.#file} cannot be read`, {event: 'settings-read'});
		} else {
			this.#check(text);
		}
	}

	/** Reads the file; undefined when that fails, as it may for a moment while the file is replaced. */
	#tryRead(): string | undefined {
		try {
			return readFileSync(this.#file, 'utf8');
		} catch {
			return undefined;
		}
	}

	#check(text: string): void {
		this.#lastText = text;
		try {
			const isSame = JSON.stringify(parseSettings(this.#file, text)) === this.#activeSettings;
			this.#log.info(isSame ? 'read the settings file again: no change' : 'read changed settings; they take effect at the next start', {event: 'settings-read'});
		} catch (error) {
			this.#log.error(`keeps the active settings: ${error instanceof Error ? error.message : String(error)}`, {event: 'settings-read'});
		}
	}
}
