/**
 * A term of leadership, which begins when a controller wins the election and ends when it loses the lease or resigns.
 */
import type { Epoch, Revision } from '../model/ids.js';
import type { Millis } from '../model/time.js';

/** The term in which this controller leads. */
export interface LeadershipTerm {
  readonly epoch: Epoch;
  /** The revision of the epoch record; every write of this term is conditional on this revision. */
  readonly epochRevision: Revision;
  /**
   * The longest time after this takeover for which the previous leader may still consider its lease valid; 0 unless the
   * epoch record is marked because a leader was replaced early (the mark stays).
   */
  readonly previousLeaseRemaining: Millis;
}
