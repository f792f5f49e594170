import type { ConfirmedCancellation } from '../model/confirmed-cancellation.js';
import type { JobId } from '../model/ids.js';
import { type Clock, type Millis, type MonotonicTime, since } from '../model/time.js';

/** Those older than so many times their limit have been carried out or broken. */
const KEPT_LIMITS = 3;
const MOST_KEPT = 20_000;

/**
 * The confirmed cancellations that this process has lately heard of, whoever confirmed them: by its own
 * answers, by watching the records, or from another controller. A confirmed cancellation is final. So what
 * stands here may be acted upon, by a `kill`, without the state service and without a sure grant.
 */
export class ConfirmedCancellations {
  private readonly learned = new Map<JobId, MonotonicTime>();
  private readonly listeners: ((ids: readonly JobId[]) => void)[] = [];
  private readonly kept: number;
  private readonly startedAt: MonotonicTime;

  constructor(
    private readonly clock: Clock,
    cancelWithin: Millis,
  ) {
    this.kept = cancelWithin * KEPT_LIMITS;
    this.startedAt = clock.now();
  }

  /** How long this process has been listening. */
  get uptime(): Millis {
    return since(this.clock.now(), this.startedAt);
  }

  onLearned(listener: (ids: readonly JobId[]) => void): void {
    this.listeners.push(listener);
  }

  /** True: this is news. */
  learn(told: readonly ConfirmedCancellation[]): boolean {
    const now = this.clock.now();
    const news: JobId[] = [];
    for (const { id, age } of told) {
      if (this.learned.has(id)) continue;
      this.learned.set(id, (now - age) as MonotonicTime);
      news.push(id);
    }
    if (news.length === 0) return false;
    this.forget(now);
    for (const tell of this.listeners) tell(news);
    return true;
  }

  has(id: JobId): boolean {
    return this.learned.has(id);
  }

  /** Since when it is known to be cancelled. */
  learnedAt(id: JobId): MonotonicTime | undefined {
    return this.learned.get(id);
  }

  /** All of them, or those of these jobs. */
  list(which: Iterable<JobId> = this.learned.keys()): ConfirmedCancellation[] {
    const now = this.clock.now();
    this.forget(now);
    const told: ConfirmedCancellation[] = [];
    for (const id of which) {
      const at = this.learned.get(id);
      if (at !== undefined) told.push({ id, age: since(now, at) });
    }
    return told;
  }

  private forget(now: MonotonicTime): void {
    for (const [id, at] of this.learned) {
      // In the order in which they came; ages of others' may differ by the time that their telling took.
      if (since(now, at) <= this.kept && this.learned.size <= MOST_KEPT) return;
      this.learned.delete(id);
    }
  }
}
