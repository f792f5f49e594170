/** A token bucket rate limiter. */
import type { Clock } from './environment.js';

/** Allows `perSecond` operations per second on average, in bursts of at most `perSecond` operations. */
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

  /** Takes a token. Returns false if no token is available. */
  tryTake(): boolean {
    const now = this.clock.now();
    const refilledTokens = ((now - this.refilledAt) / 1000) * this.perSecond;
    this.tokens = Math.min(this.perSecond, this.tokens + refilledTokens);
    this.refilledAt = now;
    if (this.tokens < 1) return false;
    this.tokens--;
    return true;
  }
}
