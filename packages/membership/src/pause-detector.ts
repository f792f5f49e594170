/** Detects that this process did not run: it was stopped, starved of processor time, or its event loop was blocked. */
import type { Cancel, Clock } from './environment.js';

/** Checks per threshold period, so that a pause just over the threshold is not missed. */
const CHECKS_PER_THRESHOLD = 2;

/** Reports every pause when it is over, before any other part of this package evaluates a peer. */
export class PauseDetector {
  private lastCheckedAt: number;
  private cancelTimer: Cancel | null = null;
  private readonly checkIntervalMs: number;

  constructor(
    private readonly clock: Clock,
    private readonly thresholdMs: number,
    private readonly onPause: (pausedMs: number) => void,
  ) {
    this.checkIntervalMs = thresholdMs / CHECKS_PER_THRESHOLD;
    this.lastCheckedAt = clock.now();
  }

  /** Starts checking periodically. */
  start(): void {
    this.lastCheckedAt = this.clock.now();
    this.schedule();
  }

  /** Cancels the periodic check. */
  stop(): void {
    this.cancelTimer?.();
    this.cancelTimer = null;
  }

  /** Checks the clock now. Must be called before any evaluation of elapsed time. */
  check(): void {
    const now = this.clock.now();
    const lateMs = now - this.lastCheckedAt - this.checkIntervalMs;
    this.lastCheckedAt = now;
    if (lateMs > this.thresholdMs) this.onPause(lateMs);
  }

  private schedule(): void {
    this.cancelTimer = this.clock.after(this.checkIntervalMs, () => {
      this.check();
      this.schedule();
    });
  }
}
