/** Bounds how often something happens. */
import type { Clock } from './environment.js';

/** Lets `perSecond` pass in a second, and saves up at most a second's worth. */
export class TokenBucket {
  private tokens: number;
  private filledAt: number;

  constructor(
    private readonly clock: Clock,
    private readonly perSecond: number,
  ) {
    this.tokens = perSecond;
    this.filledAt = clock.now();
  }

  /** False: not now. */
  take(): boolean {
    const now = this.clock.now();
    const earned = ((now - this.filledAt) / 1000) * this.perSecond;
    this.tokens = Math.min(this.perSecond, this.tokens + earned);
    this.filledAt = now;
    if (this.tokens < 1) return false;
    this.tokens--;
    return true;
  }
}
