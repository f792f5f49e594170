import { maxLocalDuration, type MonotonicTime, plus } from '../model/time.js';
import type { FailureDetectionContext } from './failure-detection-context.js';
import type { Worker } from './state/worker.js';

/** A safety margin added to a lease before it counts as expired. */
const EXPIRY_MARGIN_MS = 1000;

/** Decides when a worker's lease has certainly expired, at which point the worker has killed its own tasks. */
export class LeaseExpiry {
  private unknownMachineAnsweredAt: MonotonicTime;

  /** `predecessorRenewalMs` is how long an earlier leader may renew leases after this leader's takeover. */
  constructor(
    private readonly ctx: Pick<FailureDetectionContext, 'settings' | 'startedAt'>,
    private readonly predecessorRenewalMs: number,
  ) {
    this.unknownMachineAnsweredAt = ctx.startedAt;
  }

  /** Records an answer to a machine whose record is not read yet; any worker's lease may start at this time. */
  recordAnswerToUnknownMachine(now: MonotonicTime): void {
    this.unknownMachineAnsweredAt = now;
  }

  /**
   * Whether the worker has tasks and its lease has certainly expired. The lease may rest on an answer of this leader or
   * on an untracked answer, such as an earlier leader's within `predecessorRenewalMs` after this leader's takeover.
   */
  hasExpired(worker: Worker, now: MonotonicTime): boolean {
    if (worker.isEmpty) return false;
    return now > worker.lease.latestExpiry(this.untrackedAnswersEndAt, this.maxLeaseDurationMs);
  }

  /**
   * The time at which the last lease ends that may rest on an untracked answer: an answer of an earlier leader, or an
   * answer to a machine whose record was not read yet. A task that no heartbeat has shown by then runs nowhere.
   */
  get untrackedLeasesEndAt(): MonotonicTime {
    return plus(this.untrackedAnswersEndAt, this.maxLeaseDurationMs);
  }

  /** The latest time at which a heartbeat may have been answered without a record in the worker's own lease. */
  private get untrackedAnswersEndAt(): MonotonicTime {
    const predecessorAnswersEndAt = plus(this.ctx.startedAt, maxLocalDuration(this.predecessorRenewalMs));
    return this.unknownMachineAnsweredAt > predecessorAnswersEndAt
      ? this.unknownMachineAnsweredAt
      : predecessorAnswersEndAt;
  }

  private get maxLeaseDurationMs(): number {
    return maxLocalDuration(this.ctx.settings.workerLeaseDuration) + EXPIRY_MARGIN_MS;
  }
}
