/** Statistics of a job's attempts for the log line that is written when the job is closed. */
import type { MonotonicTime } from '../model/time.js';

/**
 * Records, for this leadership term, when a job's tasks were reported as running, and how many of the job's attempts
 * ended without success.
 */
export class AttemptHistory {
  private firstRunTime: MonotonicTime | null = null;
  private lastRunTime: MonotonicTime | null = null;
  private lostAttemptCount = 0;

  /** The time of the first heartbeat in this term that reported an attempt as running; null: none did. */
  get firstRunAt(): MonotonicTime | null {
    return this.firstRunTime;
  }

  /** The time at which a heartbeat last reported a newly running attempt; null: none did. */
  get lastRunAt(): MonotonicTime | null {
    return this.lastRunTime;
  }

  /** The number of attempts that ended without success in this term, including attempts that never started to run. */
  get lostCount(): number {
    return this.lostAttemptCount;
  }

  recordRun(now: MonotonicTime): void {
    this.firstRunTime ??= now;
    this.lastRunTime = now;
  }

  recordLost(): void {
    this.lostAttemptCount++;
  }
}
