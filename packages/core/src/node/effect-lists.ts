/**
 * Lists of effects on the way of each call: most hold one effect or none, and are passed on without a copy.
 *
 * @module
 */

/** Carries effects out in their order, and joins what comes of them. */
export function carryOutAll<Effect, Result>(effects: readonly Effect[], carryOut: (effect: Effect) => Result[]): Result[] {
	return effects.length === 1 ? carryOut(effects[0]!) : effects.flatMap(effect => carryOut(effect));
}

/** One list after the other. */
export function joinEffects<Effect>(first: Effect[], second: Effect[]): Effect[] {
	if (first.length === 0) {
		return second;
	}

	return second.length === 0 ? first : [...first, ...second];
}
