/** Checks for each accepted job by itself that queries about it are answered. */

/**
 * The time without an answer after which a job is forgotten, once all troubles are over, however other jobs fare (the
 * users' statement).
 */
const FORGOTTEN_AFTER_MS = 75_000;

/** The times at which users last got an answer about each accepted job that has not ended. */
export class AnswerGaps {
  private readonly lastAnsweredAt = new Map<string, number>();
  private isObserving = false;

  constructor(private readonly recordViolation: (text: string) => void) {}

  /** Records an answer about a job, or its acceptance. */
  recordAnswer(ref: string, now: number): void {
    this.lastAnsweredAt.set(ref, now);
  }

  /** Ends the check of a job about which its user asks no more. */
  forget(ref: string): void {
    this.lastAnsweredAt.delete(ref);
  }

  /** Starts the check once all troubles are over: earlier times without an answer do not count. */
  start(now: number): void {
    this.isObserving = true;
    for (const ref of this.lastAnsweredAt.keys()) this.lastAnsweredAt.set(ref, now);
  }

  /** Records a violation for each job about which no query has been answered for too long. */
  check(now: number): void {
    if (!this.isObserving) return;
    for (const [ref, answeredAt] of this.lastAnsweredAt) {
      if (now - answeredAt <= FORGOTTEN_AFTER_MS) continue;
      const gapS = Math.round((now - answeredAt) / 1000);
      this.recordViolation(`forgotten: no query about ${ref} answered for ${gapS} s`);
      this.lastAnsweredAt.delete(ref);
    }
  }
}
