import type { TermEndReason } from '../model/term-end-reason.js';
import type { Cancel } from '../model/time.js';

/** The lifetime of one term: any part may end it, and what runs for its duration is stopped then. */
export class TermLifetime {
  private hasEnded = false;
  private readonly cleanups: Cancel[] = [];

  constructor(private readonly onEnded: (reason: TermEndReason) => void) {}

  get isEnded(): boolean {
    return this.hasEnded;
  }

  /** Runs the cleanup when the term ends. */
  addCleanup(cleanup: Cancel): void {
    this.cleanups.push(cleanup);
  }

  /** Ends the term; later calls do nothing. */
  end(reason: TermEndReason): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    for (const cleanup of this.cleanups) cleanup();
    this.onEnded(reason);
  }
}
