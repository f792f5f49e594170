/** Spaces calls to the cloud so that they keep to its rate limit. */
import { type Clock, sleep } from '../model/time.js';
import type { TokenBucket } from '../net/token-bucket.js';

/** A rate-limited queue of calls: each caller waits for its turn; none is refused. */
export class CloudCallQueue {
  constructor(
    private readonly clock: Clock,
    private readonly rateLimit: TokenBucket,
  ) {}

  /** Milliseconds until a call could be made at once. */
  get waitMs(): number {
    return this.rateLimit.waitMs();
  }

  /** Resolves when one call may be made. */
  async next(): Promise<void> {
    const waitMs = this.rateLimit.waitMs();
    this.rateLimit.forceTake();
    if (waitMs > 0) await sleep(this.clock, waitMs);
  }
}
