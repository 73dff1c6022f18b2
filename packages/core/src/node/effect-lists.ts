/**
 * Lists of effects on the hot path. Most hold one effect or none, and are passed on without a copy.
 *
 * @module
 */

/** Handles effects in order and concatenates the results. */
export function flatMapEffects<Effect, Result>(effects: readonly Effect[], handle: (effect: Effect) => Result[]): Result[] {
	return effects.length === 1 ? handle(effects[0]!) : effects.flatMap(effect => handle(effect));
}

/** Concatenates two lists. The result may be one of the arguments. */
export function concatenateEffects<Effect>(first: Effect[], second: Effect[]): Effect[] {
	if (first.length === 0) {
		return second;
	}

	return second.length === 0 ? first : [...first, ...second];
}
