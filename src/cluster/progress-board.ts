/** Task counts of unfinished jobs, as the leader last told them: for display to users. */
import type { JobId } from '../model/ids.js';
import { type Clock, type Steady, since } from '../model/time.js';
import { decodeProgress } from '../peer/frames.js';
import type { Progress } from '../wire/users.js';

/** Counts older than this are not shown. */
const LIVES_MS = 5000;

/** What this node knows of progress. */
export class ProgressBoard {
  private progress = new Map<JobId, Progress>();
  private takenAt: Steady | null = null;

  constructor(private readonly clock: Clock) {}

  /** Null: nothing is known that is new enough. */
  of(id: JobId): Progress | null {
    if (this.takenAt === null || since(this.clock.now(), this.takenAt) > LIVES_MS) return null;
    return this.progress.get(id) ?? null;
  }

  /** A leader's counts, as they come over the peer link. */
  take(payload: Buffer): void {
    this.progress = new Map(decodeProgress(payload).map((job) => [job.id, job]));
    this.takenAt = this.clock.now();
  }
}
