import { type Clock, type MonotonicTime, since } from '../model/time.js';

/**
 * A token bucket. `share` of the published rate is ours: the other nodes draw on
 * the same limit, and submissions and cancels must find room.
 */
export class TokenBucket {
  private tokens: number;
  private last: MonotonicTime;

  constructor(
    private readonly clock: Clock,
    private perSecond: number,
    private capacity: number,
  ) {
    this.tokens = capacity;
    this.last = clock.now();
  }

  get burst(): number {
    return this.capacity;
  }

  /** From now on at this rate: what was saved up under a higher one is cut. */
  setRate(perSecond: number, burst: number): void {
    this.refill();
    this.perSecond = perSecond;
    this.capacity = burst;
    this.tokens = Math.min(this.tokens, burst);
  }

  private refill(): void {
    const now = this.clock.now();
    this.tokens = Math.min(this.capacity, this.tokens + (since(now, this.last) * this.perSecond) / 1000);
    this.last = now;
  }

  /** Takes `n` if they are there. */
  tryTake(n = 1): boolean {
    this.refill();
    if (this.tokens < n) return false;
    this.tokens -= n;
    return true;
  }

  available(): number {
    this.refill();
    return this.tokens;
  }

  /** Takes `n` even into debt: for what must not wait. */
  forceTake(n = 1): void {
    this.refill();
    this.tokens -= n;
  }

  /** Milliseconds until `n` tokens are there. */
  waitMs(n = 1): number {
    this.refill();
    return Math.max(0, ((n - this.tokens) / this.perSecond) * 1000);
  }
}
