import type { ConfirmedCancellation } from '../model/confirmed-cancellation.js';
import type { JobId } from '../model/ids.js';
import { type Clock, type Millis, type MonotonicTime, since } from '../model/time.js';

/** The retention of an entry as a multiple of the cancellation limit; by then the limit has been met or violated. */
const RETENTION_LIMIT_COUNT = 3;
const MAX_ENTRY_COUNT = 20_000;

/**
 * The confirmed cancellations that this process has recently received, whichever controller confirmed them. The sources
 * are this process's own answers to users, a watch on the job records, and other controllers.
 *
 * A confirmed cancellation is final, so stop commands for its tasks need neither the store nor a valid lease.
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
    this.retention = cancellationLimit * RETENTION_LIMIT_COUNT;
    this.startedAt = clock.now();
  }

  /** The time for which this process has been collecting cancellations. */
  get uptime(): Millis {
    return since(this.clock.now(), this.startedAt);
  }

  /** Registers a listener that is called with the ids of cancellations that are new to this process. */
  onLearned(listener: (ids: readonly JobId[]) => void): void {
    this.listeners.push(listener);
  }

  /** Adds cancellations and returns whether any of them is new. */
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

  /** Returns the time since which the job is known to be cancelled, or undefined if no cancellation is known. */
  learnedAt(id: JobId): MonotonicTime | undefined {
    return this.learnedAtById.get(id);
  }

  /** Returns all confirmed cancellations, or only those of the given jobs. */
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
      // Entries are in the order of arrival. An entry from a peer may have an earlier time than the entries before it.
      if (since(now, learnedAt) <= this.retention && this.learnedAtById.size <= MAX_ENTRY_COUNT) return;
      this.learnedAtById.delete(id);
    }
  }
}
