/** One term of leadership: from winning the election until it is lost or given up. */
import type { Epoch, Revision } from '../model/ids.js';
import type { Millis } from '../model/time.js';

/** A leadership term that this controller holds. */
export interface LeadershipTerm {
  readonly epoch: Epoch;
  /** The revision of the epoch's record: every write of this term is conditional on it. */
  readonly epochRevision: Revision;
  /** For how long after this takeover the former leader may still have considered its lease valid. */
  readonly previousLeaseRemaining: Millis;
}
