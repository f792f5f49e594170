/** Task counts of unfinished jobs, as the leader last told them: for display to users. */
import type { JobId } from '../model/ids.js';
import { type Clock, type MonotonicTime, since } from '../model/time.js';
import { decodeProgress } from '../peer/frames.js';
import type { Progress } from '../wire/users.js';

/** Counts older than this are not shown. */
const LIVES_MS = 5000;

interface CachedProgress {
  readonly progress: Progress;
  readonly at: MonotonicTime;
}

/** What this node knows of progress. */
export class ProgressCache {
  private readonly progress = new Map<JobId, CachedProgress>();

  constructor(private readonly clock: Clock) {}

  /** Null: nothing is known that is new enough. */
  of(id: JobId): Progress | null {
    const shown = this.progress.get(id);
    return shown && since(this.clock.now(), shown.at) <= LIVES_MS ? shown.progress : null;
  }

  /** A part of a leader's counts, as they come over the peer link. */
  store(payload: Buffer): void {
    const at = this.clock.now();
    for (const job of decodeProgress(payload)) {
      // The oldest come first.
      this.progress.delete(job.id);
      this.progress.set(job.id, { progress: job, at });
    }
    for (const [id, shown] of this.progress) {
      if (since(at, shown.at) <= LIVES_MS) return;
      this.progress.delete(id);
    }
  }
}
