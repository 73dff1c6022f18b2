/**
 * Times of the parts of a planned stop.
 *
 * @module
 */

/** Longest time between the announcement that the node has left and the close of its sockets, so that gossip can spread it. Calls still finish. */
export const leaveGossipMilliseconds = 600;

/** Time in which calls that are still in flight at the end are cancelled and answered. It is part of `closeTimeoutMilliseconds`. */
export const finalAnswersMilliseconds = 150;

/** Longest time in which the requests on pending connections are read and refused before the node stops listening. */
export const pendingConnectionsMilliseconds = 400;

/** Longest wait for the store to revoke the lease. An unrevoked lease lapses by itself; the platform kills a slow process. */
export const closeTimeoutMilliseconds = 400;

/** Shortest stop: the announcement and the close, in which no new requests are served. */
export const minimumStopMilliseconds = leaveGossipMilliseconds + closeTimeoutMilliseconds;
