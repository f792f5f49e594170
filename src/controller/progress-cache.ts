/** Task counts of unfinished jobs as the leader last published them, for display to users. */
import type { JobId } from '../model/ids.js';
import { type Clock, type MonotonicTime, since } from '../model/time.js';
import { decodeProgress } from '../peer/job-progress.js';
import type { Progress } from '../wire/users.js';

/** Counts older than this are not shown. */
const MAX_AGE_MS = 5000;

interface CachedProgress {
  readonly progress: Progress;
  readonly receivedAt: MonotonicTime;
}

/** Holds the counts of each job until they are too old. */
export class ProgressCache {
  private readonly progress = new Map<JobId, CachedProgress>();

  constructor(private readonly clock: Clock) {}

  /** The job's counts; null: none are recent enough. */
  get(id: JobId): Progress | null {
    const cached = this.progress.get(id);
    return cached && since(this.clock.now(), cached.receivedAt) <= MAX_AGE_MS ? cached.progress : null;
  }

  /** Takes in a part of the leader's counts, as encoded for the peer links. Throws `MalformedFrameError`. */
  update(payload: Buffer): void {
    const receivedAt = this.clock.now();
    for (const job of decodeProgress(payload)) {
      // Kept in the order of arrival: the oldest come first.
      this.progress.delete(job.id);
      this.progress.set(job.id, { progress: job, receivedAt });
    }
    for (const [id, cached] of this.progress) {
      if (since(receivedAt, cached.receivedAt) <= MAX_AGE_MS) return;
      this.progress.delete(id);
    }
  }
}
