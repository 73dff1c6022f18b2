/**
 * Notices that the settings file has changed under a running node, with a signal or without.
 *
 * @module
 */
import {readFileSync} from 'node:fs';
import type {PartLog} from './logs.js';
import {parseSettings, type Settings} from './settings.js';

/** Time between two looks at the file; a change has no effect before the next start, so seconds do. */
export const settingsLookMilliseconds = 2000;

/**
 * The settings say where the node stands and listens, which a running process cannot change; a change is checked and told.
 *
 * @example
 * const watch = new SettingsWatch('node.yaml', settings, log);
 * setInterval(() => watch.look(), settingsLookMilliseconds);
 * process.on('SIGHUP', () => watch.readAgain());
 */
export class SettingsWatch {
	readonly #file: string;
	readonly #inForce: string;
	readonly #log: PartLog;
	#lastText: string;

	constructor(file: string, settings: Settings, log: PartLog) {
		this.#file = file;
		this.#inForce = JSON.stringify(settings);
		this.#log = log;
		this.#lastText = this.#read() ?? '';
	}

	/** Tells of a change since the last look. */
	look(): void {
		const text = this.#read();
		if (text !== undefined && text !== this.#lastText) {
			this.#judge(text);
		}
	}

	/** Tells what stands in the file, changed or not. */
	readAgain(): void {
		const text = this.#read();
		if (text === undefined) {
			this.#log.error(`goes on with its settings: ${this.#file} cannot be read`, {event: 'settings-read'});
		} else {
			this.#judge(text);
		}
	}

	/** A file that is being replaced may be away for a moment. */
	#read(): string | undefined {
		try {
			return readFileSync(this.#file, 'utf8');
		} catch {
			return undefined;
		}
	}

	#judge(text: string): void {
		this.#lastText = text;
		try {
			const isSame = JSON.stringify(parseSettings(this.#file, text)) === this.#inForce;
			this.#log.info(isSame ? 'read its settings again and found no change' : 'read changed settings; they hold from the next start', {event: 'settings-read'});
		} catch (error) {
			this.#log.error(`goes on with its settings: ${error instanceof Error ? error.message : String(error)}`, {event: 'settings-read'});
		}
	}
}
