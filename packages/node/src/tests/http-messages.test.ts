import {test} from 'tap';
import {filterHeaders} from '../http-messages.js';

const noNames: ReadonlySet<string> = new Set();

test('hop-by-hop headers are not passed on, whether they are standard or declared by the connection header', async t => {
	t.same(filterHeaders(['Accept', 'a', 'Keep-Alive', 'timeout=5', 'Connection', 'keep-alive', 'Transfer-Encoding', 'chunked'], noNames), ['accept', 'a']);
	t.same(filterHeaders(['X-One', '1', 'Connection', 'close, X-One', 'x-two', '2'], noNames), ['x-two', '2']);
	t.same(filterHeaders(['Connection', 'x-one', 'x-one', '1', 'connection', ' X-Two ', 'x-two', '2', 'x-three', '3'], noNames), ['x-three', '3']);
});

test('repeated headers keep their order, and dropped headers are removed', async t => {
	t.same(filterHeaders(['X', '1', 'Own', 'o', 'x', '2'], new Set(['own'])), ['x', '1', 'x', '2']);
});
