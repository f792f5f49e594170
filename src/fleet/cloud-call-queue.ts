/** Client-side rate limiting of calls to the cloud API. */
import { type Clock, sleep } from '../model/time.js';
import type { TokenBucket } from '../net/token-bucket.js';

/** A rate limiter for cloud calls: every caller waits until the token bucket allows its call; no caller is rejected. */
export class CloudCallQueue {
  constructor(
    private readonly clock: Clock,
    private readonly rateLimit: TokenBucket,
  ) {}

  /** The time until a new call would be allowed without waiting, in milliseconds. */
  get waitMs(): number {
    return this.rateLimit.waitMs();
  }

  /**
   * Takes one token and resolves when the caller may make its call. The token is taken before the wait, so concurrent
   * callers are served in the order in which they called.
   */
  async acquire(): Promise<void> {
    const waitMs = this.rateLimit.waitMs();
    this.rateLimit.forceTake();
    if (waitMs > 0) await sleep(this.clock, waitMs);
  }
}
