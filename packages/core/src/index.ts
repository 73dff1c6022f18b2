/**
 * The logic of an overload control layer, without input and output.
 *
 * @module
 */
export * from './action/call-ids.js';
export * from './action/deadline.js';
export * from './action/offer-budget.js';
export * from './action/retry-quota.js';
export * from './action/retry-budget.js';
export * from './action/trace-context.js';
export * from './admission/adaptive-limit.js';
export * from './admission/admission-controller.js';
export * from './admission/overload-level.js';
export * from './admission/service-time.js';
export * from './admission/work.js';
export * from './clock-lead.js';
export * from './entry/entry-coordinator.js';
export * from './entry/entry-call.js';
export * from './entry/entry-definition.js';
export * from './errors.js';
export * from './events/event.js';
export * from './events/hybrid-clock.js';
export * from './importance.js';
export * from './json.js';
export * from './manifest/adoption.js';
export * from './manifest/model.js';
export * from './manifest/parse.js';
export * from './manifest/routes-manifest.js';
export * from './manifest/routes.js';
export * from './membership/member.js';
export * from './membership/member-schema.js';
export * from './membership/member-table.js';
export * from './membership/membership.js';
export * from './membership/membership-definition.js';
export * from './membership/messages.js';
export * from './membership/rumors.js';
export type * from './messages.js';
export * from './node/effects.js';
export * from './node/node-core.js';
export type * from './node/node-definition.js';
export * from './at-most-once/attempt.js';
export * from './at-most-once/claim-table.js';
export * from './at-most-once/key-range.js';
export * from './at-most-once/key-time.js';
export * from './at-most-once/messages.js';
export * from './at-most-once/at-most-once-coordinator.js';
export * from './at-most-once/at-most-once-definition.js';
export * from './at-most-once/primary-role.js';
export * from './at-most-once/range-directory.js';
export * from './at-most-once/record.js';
export * from './at-most-once/request-digest.js';
export * from './routing/candidates.js';
export * from './routing/peer-loads.js';
export * from './routing/rendezvous.js';
export * from './routing/router.js';
export * from './serving/served-call.js';
export * from './serving/serving-coordinator.js';
export * from './upstream/upstream-tracker.js';
