/**
 * YAML documents that are validated against a schema. Errors state file, line, column and path of each invalid value.
 *
 * @module
 */
import {type ErrorKind, LaburnumspoolError} from '@laburnumspool/core';
import * as valibot from 'valibot';
import {
	isCollection, LineCounter, parseDocument, type Document,
} from 'yaml';

/** One invalid value in a document. */
export type DocumentIssue = {
	/** Keys and indexes from the root; empty for the document itself. */
	readonly path: ReadonlyArray<string | number>;
	readonly message: string;
};

/** A parsed document with the positions of its values. */
export type LocatedDocument = {
	readonly file: string;
	readonly value: unknown;
	/** Line and column of the value at the path, both from 1; if the path does not exist, of the innermost value around it. */
	readonly locate: (path: ReadonlyArray<string | number>) => {readonly line: number; readonly column: number};
};

/**
 * Parses YAML; throws an error of the given kind with file, line and column if the text is not YAML.
 *
 * @example
 * const document = parseYaml('a: 1', 'settings.yaml', ErrorKind.InvalidSettings);
 */
export function parseYaml(text: string, file: string, kind: ErrorKind): LocatedDocument {
	const lineCounter = new LineCounter();
	const document = parseDocument(text, {lineCounter, prettyErrors: false});
	const [error] = document.errors;
	if (error !== undefined) {
		const {line, col} = lineCounter.linePos(error.pos[0]);
		throw new LaburnumspoolError(kind, `${file}:${line}:${col}: ${error.message}`);
	}

	return {file, value: document.toJS(), locate: path => locate(document, lineCounter, path)};
}

/**
 * Validates a document against a schema; throws an error of the given kind that lists every invalid value.
 *
 * @example
 * const settings = checkDocument(document, settingsSchema, ErrorKind.InvalidSettings);
 */
export function checkDocument<Schema extends valibot.GenericSchema>(document: LocatedDocument, schema: Schema, kind: ErrorKind): valibot.InferOutput<Schema> {
	const result = valibot.safeParse(schema, document.value);
	if (result.success) {
		return result.output;
	}

	const issues = result.issues.map(issue => ({path: (issue.path ?? []).map(item => item.key as string | number), message: issue.message}));
	throw createIssuesError(document, issues, kind);
}

/** Creates an error with one line for each issue: file, line, column, path and message. */
export function createIssuesError(document: LocatedDocument, issues: readonly DocumentIssue[], kind: ErrorKind): LaburnumspoolError {
	const lines = issues.map(({path, message}) => {
		const {line, column} = document.locate(path);
		return `${document.file}:${line}:${column}: ${path.length === 0 ? 'document' : path.join('.')}: ${message}`;
	});
	return new LaburnumspoolError(kind, lines.join('\n'));
}

function locate(document: Document, lineCounter: LineCounter, path: ReadonlyArray<string | number>): {line: number; column: number} {
	const depths = path.map((_, index) => path.length - index);
	const innermost = depths.map(depth => document.getIn(path.slice(0, depth), true)).find(node => hasRange(node));
	const offset = hasRange(innermost) ? innermost.range[0] : (isCollection(document.contents) ? document.contents.range?.[0] ?? 0 : 0);
	const {line, col} = lineCounter.linePos(offset);
	return {line, column: col};
}

function hasRange(node: unknown): node is {range: [number, number, number]} {
	return typeof node === 'object' && node !== null && 'range' in node && Array.isArray(node.range);
}
