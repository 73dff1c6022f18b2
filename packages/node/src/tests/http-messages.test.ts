import {test} from 'tap';
import {filterHeaders} from '../http-messages.js';

const none: ReadonlySet<string> = new Set();

test('headers of one connection are not passed on, whatever names them', async t => {
	t.same(filterHeaders(['Accept', 'a', 'Keep-Alive', 'timeout=5', 'Connection', 'keep-alive', 'Transfer-Encoding', 'chunked'], none), ['accept', 'a']);
	t.same(filterHeaders(['X-One', '1', 'Connection', 'close, X-One', 'x-two', '2'], none), ['x-two', '2']);
	t.same(filterHeaders(['Connection', 'x-one', 'x-one', '1', 'connection', ' X-Two ', 'x-two', '2', 'x-three', '3'], none), ['x-three', '3']);
});

test('repeated headers keep their order, and dropped ones are left out', async t => {
	t.same(filterHeaders(['X', '1', 'Own', 'o', 'x', '2'], new Set(['own'])), ['x', '1', 'x', '2']);
});
