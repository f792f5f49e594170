import { maxLocalDuration, type MonotonicTime, plus } from '../model/time.js';
import type { FailureDetectionContext } from './failure-detection-context.js';
import type { Worker } from './state/worker.js';

/** Added to a lease before it counts as expired. */
const EXPIRY_MARGIN_MS = 1000;

/** Decides when a worker's lease has surely expired: its tasks were killed by the worker itself then. */
export class LeaseExpiry {
  private unknownAnsweredAt: MonotonicTime;

  /** `predecessorRenewalMs`: for how long an earlier leader may renew leases after our takeover. */
  constructor(
    private readonly ctx: Pick<FailureDetectionContext, 'settings' | 'startedAt'>,
    private readonly predecessorRenewalMs: number,
  ) {
    this.unknownAnsweredAt = ctx.startedAt;
  }

  /** A machine was answered before we had read that it exists: any lease may run from then. */
  recordAnswerToUnknownMachine(now: MonotonicTime): void {
    this.unknownAnsweredAt = now;
  }

  /**
   * Whether the worker holds tasks and its lease has surely expired. An earlier leader may have gone
   * on answering for `predecessorRenewalMs` after our takeover, or after its own lease was valid for the last time.
   */
  hasExpired(worker: Worker, now: MonotonicTime): boolean {
    if (worker.isEmpty) return false;
    return now > worker.lease.expiry(this.earlierAnswersUntil, this.duration);
  }

  /** From when on no lease runs that an earlier leader has renewed: what we have not heard of by then runs nowhere. */
  get earlierLeasesEndAt(): MonotonicTime {
    return plus(this.earlierAnswersUntil, this.duration);
  }

  private get earlierAnswersUntil(): MonotonicTime {
    const predecessorUntil = plus(this.ctx.startedAt, maxLocalDuration(this.predecessorRenewalMs));
    return this.unknownAnsweredAt > predecessorUntil ? this.unknownAnsweredAt : predecessorUntil;
  }

  private get duration(): number {
    return maxLocalDuration(this.ctx.settings.workerLeaseDuration) + EXPIRY_MARGIN_MS;
  }
}
