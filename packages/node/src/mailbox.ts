/**
 * Bounded message queues between tasks.
 *
 * @module
 */

/**
 * A bounded queue with one handler, which processes one message at a time. Messages that are posted by the handler are
 * processed after the current one.
 *
 * @example
 * const mailbox = new Mailbox<string>(100, message => console.log(message));
 * mailbox.post('hello'); // false when the mailbox is full
 */
export class Mailbox<Message> {
	readonly #capacity: number;
	readonly #handle: (message: Message) => void;
	#queue: Message[] = [];
	#isDraining = false;

	constructor(capacity: number, handle: (message: Message) => void) {
		this.#capacity = capacity;
		this.#handle = handle;
	}

	get length(): number {
		return this.#queue.length;
	}

	post(message: Message): boolean {
		if (this.#queue.length >= this.#capacity) {
			return false;
		}

		this.#queue.push(message);
		if (!this.#isDraining) {
			this.#drain();
		}

		return true;
	}

	#drain(): void {
		this.#isDraining = true;
		try {
			while (this.#queue.length > 0) {
				const batch = this.#queue;
				this.#queue = [];
				batch.map(message => {
					this.#handle(message);
					return message;
				});
			}
		} finally {
			this.#isDraining = false;
		}
	}
}
