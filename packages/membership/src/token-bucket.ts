/** A token bucket. */
import type { Clock } from './environment.js';

/** Allows `perSecond` operations per second on average, and a burst of at most one second's worth. */
export class TokenBucket {
  private tokens: number;
  private refilledAt: number;

  constructor(
    private readonly clock: Clock,
    private readonly perSecond: number,
  ) {
    this.tokens = perSecond;
    this.refilledAt = clock.now();
  }

  /** Takes one token; false if there is none. */
  tryTake(): boolean {
    const now = this.clock.now();
    const earned = ((now - this.refilledAt) / 1000) * this.perSecond;
    this.tokens = Math.min(this.perSecond, this.tokens + earned);
    this.refilledAt = now;
    if (this.tokens < 1) return false;
    this.tokens--;
    return true;
  }
}
