/**
 * Division of the entries of quota messages into datagrams of less than 1,200 bytes.
 *
 * @module
 */

/** Bounds of a datagram's content: the largest encoded size of one entry without its name, and of all entries. */
const entryBytes = 48;
const maximumContentBytes = 900;
const bytesPerCharacter = 3;

/**
 * Divides entries so that those of one group fit into a datagram.
 *
 * @example
 * splitBySize(uses).map(group => ({...header, uses: group}));
 */
export function splitBySize<Entry extends {readonly organisation: string}>(entries: readonly Entry[]): Entry[][] {
	const groups: Entry[][] = [];
	let bytes = Infinity;
	entries.map(entry => {
		const size = entryBytes + (entry.organisation.length * bytesPerCharacter);
		if (bytes + size > maximumContentBytes) {
			groups.push([]);
			bytes = 0;
		}

		bytes += size;
		return groups.at(-1)!.push(entry);
	});
	return groups;
}
