/** Notices that this process did not run: it was stopped, starved of processor time, or its event loop was blocked. */
import type { Cancel, Clock } from './environment.js';

/** Checks so many times in the threshold, so that a pause just over it is not overlooked. */
const CHECKS_PER_THRESHOLD = 2;

/** Tells of every pause when it is over, before anything else that this package does judges a peer. */
export class PauseDetector {
  private lastRanAt: number;
  private timer: Cancel | null = null;
  private readonly everyMs: number;

  constructor(
    private readonly clock: Clock,
    private readonly thresholdMs: number,
    private readonly onPause: (pausedMs: number) => void,
  ) {
    this.everyMs = thresholdMs / CHECKS_PER_THRESHOLD;
    this.lastRanAt = clock.now();
  }

  start(): void {
    this.lastRanAt = this.clock.now();
    this.schedule();
  }

  stop(): void {
    this.timer?.();
    this.timer = null;
  }

  /** Looks at the clock. Whoever is about to judge by time elapsed calls this first. */
  check(): void {
    const now = this.clock.now();
    const lateMs = now - this.lastRanAt - this.everyMs;
    this.lastRanAt = now;
    if (lateMs > this.thresholdMs) this.onPause(lateMs);
  }

  private schedule(): void {
    this.timer = this.clock.after(this.everyMs, () => {
      this.check();
      this.schedule();
    });
  }
}
