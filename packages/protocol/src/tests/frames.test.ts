import {Buffer} from 'node:buffer';
import {ErrorKind} from '@laburnumspool/core';
import fc from 'fast-check';
import {test} from 'tap';
import {encodeFrameHeader, FrameReader, FrameType} from '../index.js';

const encode = (type: FrameType, text: string): Buffer => Buffer.concat([encodeFrameHeader(type, Buffer.byteLength(text)), Buffer.from(text)]);

test('frames are complete and in order for every way of splitting the byte stream', async t => {
	const texts = ['first', '', 'a longer text '.repeat(40)];
	const bytes = Buffer.concat(texts.map(text => encode(FrameType.Call, text)));
	fc.assert(fc.property(fc.array(fc.integer({min: 1, max: 90}), {minLength: 1}), sizes => {
		const reader = new FrameReader(10_000);
		const found: string[] = [];
		for (let position = 0, index = 0; position < bytes.length; index += 1) {
			const size = sizes[index % sizes.length]!;
			found.push(...reader.push(bytes.subarray(position, position + size)).map(frame => frame.content.toString()));
			position += size;
		}

		return JSON.stringify(found) === JSON.stringify(texts);
	}), {seed: 20_261_204, numRuns: 300});
	t.pass('holds for 300 ways of splitting');
});

test('a frame that is too long or of unknown type is refused as malformed', async t => {
	t.throws(() => new FrameReader(100).push(encode(FrameType.Call, 'x'.repeat(200))), {kind: ErrorKind.Malformed, name: 'LaburnumspoolError'});
	t.throws(() => new FrameReader(100).push(Buffer.from('GET / HTTP/1.1\r\n')), {kind: ErrorKind.Malformed, name: 'LaburnumspoolError'});
	t.throws(() => new FrameReader(100).push(encode(99 as FrameType, 'x')), {kind: ErrorKind.Malformed, name: 'LaburnumspoolError'});
});
