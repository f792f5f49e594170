import type { ConfirmedCancellation } from '../model/confirmed-cancellation.js';
import type { JobId } from '../model/ids.js';
import { type Clock, type Millis, type MonotonicTime, since } from '../model/time.js';

/** Cancellations older than this many times their limit have been carried out or are violated already. */
const RETENTION_LIMITS = 3;
const MAX_ENTRIES = 20_000;

/**
 * The confirmed cancellations that this process has learned of lately, whoever confirmed them: by its own answers, by
 * watching the records, or from another controller. A confirmed cancellation is final. So an entry may be acted upon,
 * by a stop command, without the store and without a valid lease.
 */
export class ConfirmedCancellations {
  private readonly learnedAtById = new Map<JobId, MonotonicTime>();
  private readonly listeners: ((ids: readonly JobId[]) => void)[] = [];
  private readonly retention: number;
  private readonly startedAt: MonotonicTime;

  constructor(
    private readonly clock: Clock,
    cancellationLimit: Millis,
  ) {
    this.retention = cancellationLimit * RETENTION_LIMITS;
    this.startedAt = clock.now();
  }

  /** How long this process has been collecting cancellations. */
  get uptime(): Millis {
    return since(this.clock.now(), this.startedAt);
  }

  /** Calls the listener with the ids of cancellations that are new here. */
  onLearned(listener: (ids: readonly JobId[]) => void): void {
    this.listeners.push(listener);
  }

  /** Adds cancellations; returns whether any of them is new. */
  learn(cancellations: readonly ConfirmedCancellation[]): boolean {
    const now = this.clock.now();
    const learned: JobId[] = [];
    for (const { id, age } of cancellations) {
      if (this.learnedAtById.has(id)) continue;
      this.learnedAtById.set(id, (now - age) as MonotonicTime);
      learned.push(id);
    }
    if (learned.length === 0) return false;
    this.removeExpired(now);
    for (const listener of this.listeners) listener(learned);
    return true;
  }

  has(id: JobId): boolean {
    return this.learnedAtById.has(id);
  }

  /** Since when the job is known to be cancelled; undefined: it isn't. */
  learnedAt(id: JobId): MonotonicTime | undefined {
    return this.learnedAtById.get(id);
  }

  /** Returns all of them, or those of the given jobs. */
  list(ids: Iterable<JobId> = this.learnedAtById.keys()): ConfirmedCancellation[] {
    const now = this.clock.now();
    this.removeExpired(now);
    const cancellations: ConfirmedCancellation[] = [];
    for (const id of ids) {
      const learnedAt = this.learnedAtById.get(id);
      if (learnedAt !== undefined) cancellations.push({ id, age: since(now, learnedAt) });
    }
    return cancellations;
  }

  private removeExpired(now: MonotonicTime): void {
    for (const [id, learnedAt] of this.learnedAtById) {
      // In the order of arrival; the ages of entries from peers may differ from it by the time of their transfer.
      if (since(now, learnedAt) <= this.retention && this.learnedAtById.size <= MAX_ENTRIES) return;
      this.learnedAtById.delete(id);
    }
  }
}
