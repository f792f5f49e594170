import type { LeaderContext } from '../core/context.js';
import { maxLocalDuration, type MonotonicTime, plus } from '../model/time.js';
import type { Worker } from './state/worker.js';

/** Added to a lease before it counts as expired. */
const EXPIRY_MARGIN_MS = 1000;

/** Decides when a worker's lease has surely expired: its tasks were killed by the worker itself then. */
export class LeaseExpiry {
  private unknownAnsweredAt: MonotonicTime;

  /** `predecessorRenewalMs`: for how long an earlier leader may renew leases after our takeover. */
  constructor(
    private readonly ctx: Pick<LeaderContext, 'settings' | 'startedAt'>,
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
    const predecessorUntil = plus(this.ctx.startedAt, maxLocalDuration(this.predecessorRenewalMs));
    const start = this.unknownAnsweredAt > predecessorUntil ? this.unknownAnsweredAt : predecessorUntil;
    const duration = maxLocalDuration(this.ctx.settings.workerLeaseDuration) + EXPIRY_MARGIN_MS;
    return now > worker.lease.expiry(start, duration);
  }
}
