/** Rate limiting with token buckets. */
import { type Clock, type MonotonicTime, since } from '../model/time.js';

/**
 * A token bucket that refills at a constant rate up to its capacity. For a limit that other controllers use too, the
 * caller sets a share of the limit as the rate.
 */
export class TokenBucket {
  private tokens: number;
  private refilledAt: MonotonicTime;

  constructor(
    private readonly clock: Clock,
    private ratePerS: number,
    private capacity: number,
  ) {
    this.tokens = capacity;
    this.refilledAt = clock.now();
  }

  /** The bucket's capacity: the maximum number of tokens. */
  get burst(): number {
    return this.capacity;
  }

  /** Sets the refill rate in tokens per second and the capacity; tokens above the new capacity are dropped. */
  setRate(perSecond: number, burst: number): void {
    this.refill();
    this.ratePerS = perSecond;
    this.capacity = burst;
    this.tokens = Math.min(this.tokens, burst);
  }

  /** Takes `count` tokens if the bucket holds enough; false: no token was taken. */
  tryTake(count = 1): boolean {
    this.refill();
    if (this.tokens < count) return false;
    this.tokens -= count;
    return true;
  }

  /** Returns the current number of tokens, which may be below 0 after `forceTake`. */
  available(): number {
    this.refill();
    return this.tokens;
  }

  /** Takes `count` tokens for work that must not be delayed; the number of tokens may become negative. */
  forceTake(count = 1): void {
    this.refill();
    this.tokens -= count;
  }

  /** Returns the milliseconds until the bucket holds `count` tokens. */
  waitMs(count = 1): number {
    this.refill();
    return Math.max(0, ((count - this.tokens) / this.ratePerS) * 1000);
  }

  private refill(): void {
    const now = this.clock.now();
    this.tokens = Math.min(this.capacity, this.tokens + (since(now, this.refilledAt) * this.ratePerS) / 1000);
    this.refilledAt = now;
  }
}
