/** Processor loads, from 0 to 1, at which a leader starts to delegate work and a controller stops receiving work. */

/**
 * Minimum load at which a leader delegates its workers' heartbeats and its calls to workers to other controllers. A
 * frame from another controller costs the leader less than a heartbeat or a call, and a leader with a tenth of a core
 * would use up its processor time while the other controllers are idle.
 */
export const MIN_DELEGATION_LOAD_RATIO = 0.6;
/** Load at and above which a controller receives no delegated work. */
export const MAX_LOAD_RATIO_FOR_DELEGATED_WORK = 0.7;
