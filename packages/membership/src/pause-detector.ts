/**
 * Detects pauses of this process: the process was stopped or starved of processor time, or the event loop was blocked.
 */
import type { Cancel, Clock } from './environment.js';

/**
 * The number of clock checks per threshold period; more than 1, since a pause that is longer than the threshold by less
 * than the time between two checks may be missed.
 */
const CHECKS_PER_THRESHOLD = 2;

/** Reports pauses of this process that exceed a threshold, after their end and before this package evaluates a peer. */
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

  /** Starts the periodic clock check. */
  start(): void {
    this.lastCheckedAt = this.clock.now();
    this.schedule();
  }

  /** Stops the periodic clock check. */
  stop(): void {
    this.cancelTimer?.();
    this.cancelTimer = null;
  }

  /** Checks the clock immediately. Must be called before any evaluation of elapsed time. */
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
