/**
 * The decisions of an overload control layer, without input or output.
 *
 * @module
 */
export * from './action/call-id.js';
export * from './action/deadline.js';
export * from './action/retry-account.js';
export * from './action/retry-share.js';
export * from './action/trace-context.js';
export * from './admission/adaptive-limit.js';
export * from './admission/guard.js';
export * from './admission/overload-level.js';
export * from './admission/service-time.js';
export * from './admission/work.js';
export * from './entry/entry.js';
export * from './entry/entry-call.js';
export * from './entry/entry-definition.js';
export * from './errors.js';
export * from './events/event.js';
export * from './events/hybrid-clock.js';
export * from './importance.js';
export * from './json.js';
export * from './manifest/adoption.js';
export * from './manifest/model.js';
export * from './manifest/routes.js';
export * from './membership/member.js';
export * from './membership/member-table.js';
export * from './membership/membership.js';
export * from './membership/messages.js';
export * from './membership/rumors.js';
export type * from './messages.js';
export * from './node/effects.js';
export * from './node/node-core.js';
export type * from './node/node-definition.js';
export * from './once/attempt.js';
export * from './once/claim-table.js';
export * from './once/key-range.js';
export * from './once/key-time.js';
export * from './once/messages.js';
export * from './once/once.js';
export * from './once/once-definition.js';
export * from './once/primary-role.js';
export * from './once/range-directory.js';
export * from './once/record.js';
export * from './routing/candidates.js';
export * from './routing/peer-loads.js';
export * from './routing/rendezvous.js';
export * from './routing/router.js';
export * from './serving/served-call.js';
export * from './serving/serving.js';
export * from './upstream/upstream-tracker.js';
