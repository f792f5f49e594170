/** What failure detection may do to a controller's leadership. */
import type { Epoch } from '../model/ids.js';
import type { TermEndReason } from '../model/term-end-reason.js';
import type { Election } from './election.js';

/** A controller's part in leadership, as failure detection uses it. */
export interface LeadershipHandle {
  readonly election: Election;
  /** The epoch that this controller leads; null: it does not lead. */
  readonly leadingEpoch: Epoch | null;
  /** Ends the current term, if there is one; this controller may stand for election again. */
  endTerm(reason: TermEndReason): void;
  /** Gives the leadership up for good: another controller takes over at once. */
  resignPermanently(): void;
}
