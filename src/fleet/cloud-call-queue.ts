/** Spaces calls to the cloud so that they keep to its rate. */
import { type Clock, sleep } from '../model/time.js';
import type { TokenBucket } from '../net/token-bucket.js';

/** Each caller waits for its turn; none is refused. */
export class CloudCallQueue {
  constructor(
    private readonly clock: Clock,
    private readonly budget: TokenBucket,
  ) {}

  /** Milliseconds until a call could be made at once. */
  get waitMs(): number {
    return this.budget.waitMs();
  }

  /** Resolves when one call may be made. */
  async next(): Promise<void> {
    const wait = this.budget.waitMs();
    this.budget.forceTake();
    if (wait > 0) await sleep(this.clock, wait);
  }
}
