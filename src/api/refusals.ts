/** Counts the user requests that this controller refused, by reason, and logs each at debug level. */
import type { Logger } from '../log/logger.js';
import type { UserVerb } from '../peer/user-request.js';

/** Why a user's request was refused; a refused request may still be answered by another controller. */
export type RefusalReason =
  /** Too many requests of the same class are being processed, or the process is overloaded. */
  | 'overloaded'
  /** This controller has used up its share of the store's write rate for users. */
  | 'write-budget'
  /** The job is not cached, and its turn to be read from the store has not come yet. */
  | 'read-budget'
  /** Records of the job's dependencies have to be read before it is known that none is cancelled. */
  | 'dependencies-unresolved'
  /** With the submission, the open jobs would have more dependencies than a leader can hold. */
  | 'dependency-limit'
  /** The store's rate limit refused the request. */
  | 'store-rate-limited'
  /** The store refused the request or did not answer. */
  | 'store-unavailable'
  /** The answer was found too late to be certain that no newer one was given meanwhile. */
  | 'answer-too-old'
  /** A dependency of the job is cancelled, and the job's own cancellation is not confirmed yet. */
  | 'cancellation-pending';

/** The number of refusals by reason; a reason without refusals is left out. */
export type RefusalCounts = Partial<Record<RefusalReason, number>>;

/** The refusals of one controller. */
export class Refusals {
  private counts: RefusalCounts = {};

  constructor(private readonly log: Logger) {}

  /** Records a refused request; `id` is the job's id if the request names one in its path. */
  record(reason: RefusalReason, verb: UserVerb, id: string | null): void {
    this.counts[reason] = (this.counts[reason] ?? 0) + 1;
    this.log.debug({ reason, verb, ...(id === null ? {} : { job: id }) }, 'user request refused');
  }

  /** Returns the counts since the last call, and resets them. */
  takeCounts(): RefusalCounts {
    const { counts } = this;
    this.counts = {};
    return counts;
  }
}
