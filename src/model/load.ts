/** Loads, between 0 and 1, at which controllers begin to hand work on, and to take none. */

/**
 * From this load on a leader hands its workers and its calls to them to the other controllers: a frame costs less than
 * a report or a call does, and a leader on a tenth of a core has its time used up while the others idle.
 */
export const DELEGATION_LOAD = 0.6;
/** From this load on a controller is handed no work of others. */
export const MAX_LOAD_FOR_DELEGATED_WORK = 0.7;
