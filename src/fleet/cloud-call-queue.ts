/** Spaces calls to the cloud so that they keep to its rate. */
import { type Clock, sleep } from '../model/time.js';
import type { Budget } from '../net/token-bucket.js';

/** Each caller waits for its turn; none is refused. */
export class CloudTurns {
  constructor(
    private readonly clock: Clock,
    private readonly budget: Budget,
  ) {}

  /** Milliseconds until a call could be made at once. */
  get wait(): number {
    return this.budget.wait();
  }

  /** Resolves when one call may be made. */
  async next(): Promise<void> {
    const wait = this.budget.wait();
    this.budget.force();
    if (wait > 0) await sleep(this.clock, wait);
  }
}
