/** Caches the task counts of unfinished jobs that the leader last published, for display to users. */
import type { JobId } from '../model/ids.js';
import { type Clock, type MonotonicTime, since } from '../model/time.js';
import { decodeProgress } from '../peer/job-progress.js';
import type { TaskCounts } from '../wire/users.js';

/** The age above which task counts are not shown. */
const MAX_PROGRESS_AGE_MS = 5000;

interface CachedProgress {
  readonly progress: TaskCounts;
  readonly receivedAt: MonotonicTime;
}

/** Holds the task counts of each job until the counts expire. */
export class ProgressCache {
  private readonly progress = new Map<JobId, CachedProgress>();

  constructor(private readonly clock: Clock) {}

  /** Returns the job's task counts; null: there are none, or the counts have expired. */
  get(id: JobId): TaskCounts | null {
    const cached = this.progress.get(id);
    return cached && since(this.clock.now(), cached.receivedAt) <= MAX_PROGRESS_AGE_MS
      ? cached.progress
      : null;
  }

  /** Adds a batch of the leader's task counts, encoded as for the peer links. Throws `MalformedFrameError`. */
  update(payload: Buffer): void {
    const receivedAt = this.clock.now();
    for (const job of decodeProgress(payload)) {
      // Deleting before inserting keeps the map in the order of arrival, oldest first.
      this.progress.delete(job.id);
      this.progress.set(job.id, { progress: job, receivedAt });
    }
    for (const [id, cached] of this.progress) {
      if (since(receivedAt, cached.receivedAt) <= MAX_PROGRESS_AGE_MS) return;
      this.progress.delete(id);
    }
  }
}
