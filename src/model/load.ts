/** Processor loads, between 0 and 1, at which controllers begin to delegate work, and to take none. */

/**
 * From this load on a leader delegates its workers and its calls to them to other controllers: a frame costs less than
 * a heartbeat or a call does, and a leader on a tenth of a core has its time used up while the others idle.
 */
export const DELEGATION_LOAD = 0.6;
/** From this load on no work is delegated to a controller. */
export const MAX_LOAD_FOR_DELEGATED_WORK = 0.7;
