/** A token bucket for rate limits. */
import { type Clock, type MonotonicTime, since } from '../model/time.js';

/**
 * A token bucket, filled at a steady rate up to its capacity. The caller chooses which share of a published limit the
 * rate is: other controllers draw on the same limit.
 */
export class TokenBucket {
  private tokens: number;
  private refilledAt: MonotonicTime;

  constructor(
    private readonly clock: Clock,
    private perSecond: number,
    private capacity: number,
  ) {
    this.tokens = capacity;
    this.refilledAt = clock.now();
  }

  /** The most tokens that the bucket holds. */
  get burst(): number {
    return this.capacity;
  }

  /** Fills at this rate from now on; tokens above the new capacity are dropped. */
  setRate(perSecond: number, burst: number): void {
    this.refill();
    this.perSecond = perSecond;
    this.capacity = burst;
    this.tokens = Math.min(this.tokens, burst);
  }

  /** Takes tokens if there are enough; false: none were taken. */
  tryTake(count = 1): boolean {
    this.refill();
    if (this.tokens < count) return false;
    this.tokens -= count;
    return true;
  }

  /** The tokens that are there now; below 0 after `forceTake`. */
  available(): number {
    this.refill();
    return this.tokens;
  }

  /** Takes tokens even into debt, for what must not wait. */
  forceTake(count = 1): void {
    this.refill();
    this.tokens -= count;
  }

  /** Milliseconds until there are so many tokens. */
  waitMs(count = 1): number {
    this.refill();
    return Math.max(0, ((count - this.tokens) / this.perSecond) * 1000);
  }

  private refill(): void {
    const now = this.clock.now();
    this.tokens = Math.min(
      this.capacity,
      this.tokens + (since(now, this.refilledAt) * this.perSecond) / 1000,
    );
    this.refilledAt = now;
  }
}
