/** The interface through which failure detection controls a controller's leadership. */
import type { Epoch } from '../model/ids.js';
import type { TermEndReason } from '../model/term-end-reason.js';
import type { Election } from './election.js';

/** A controller's leadership, as failure detection reads and ends it. */
export interface LeadershipHandle {
  readonly election: Election;
  /** The epoch in which this controller leads; null: this controller does not lead. */
  readonly leadingEpoch: Epoch | null;
  /** Ends the current term, if this controller leads; this controller can become a candidate again. */
  endTerm(reason: TermEndReason): void;
  /** Ends the current term and this controller's candidacy for good; another controller can take over at once. */
  resignPermanently(): void;
}
