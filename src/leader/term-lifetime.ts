import type { TermEndReason } from '../model/term-end-reason.js';
import type { Cancel } from '../model/time.js';

/** The lifetime of one leadership term. Any component may end the term, which runs the registered cleanups. */
export class TermLifetime {
  private hasEnded = false;
  private readonly cleanups: Cancel[] = [];

  constructor(private readonly onEnded: (reason: TermEndReason) => void) {}

  get isEnded(): boolean {
    return this.hasEnded;
  }

  /** Registers a cleanup that runs when the term ends; a cleanup that is registered after the end never runs. */
  addCleanup(cleanup: Cancel): void {
    this.cleanups.push(cleanup);
  }

  /** Ends the term, runs the cleanups, and reports the reason; later calls do nothing. */
  end(reason: TermEndReason): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    for (const cleanup of this.cleanups) cleanup();
    this.onEnded(reason);
  }
}
