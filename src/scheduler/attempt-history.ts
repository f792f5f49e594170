/** What became of a job's attempts, for the log line that is written when the job is closed. */
import type { MonotonicTime } from '../model/time.js';

/** When a job's tasks started to run, and how many of its attempts were lost. */
export class AttemptHistory {
  private firstStart: MonotonicTime | null = null;
  private lastStart: MonotonicTime | null = null;
  private lost = 0;

  /** When the first attempt was seen running; null: none was. */
  get firstRunAt(): MonotonicTime | null {
    return this.firstStart;
  }

  /** When the last attempt was seen running; null: none was. */
  get lastRunAt(): MonotonicTime | null {
    return this.lastStart;
  }

  /** Attempts that ended without success. */
  get lostCount(): number {
    return this.lost;
  }

  recordRun(now: MonotonicTime): void {
    this.firstStart ??= now;
    this.lastStart = now;
  }

  recordLost(): void {
    this.lost++;
  }
}
