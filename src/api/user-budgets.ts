/** The shares of the store's limits that users' requests may use. */
import type { ControllerContext } from '../core/context.js';
import { TokenBucket } from '../net/token-bucket.js';

/** The share of the store's requests that first questions about jobs may use, by all controllers. */
const FIRST_READS_SHARE = 0.25;
/**
 * The share of the store's writes that users may use, by all controllers. When hundreds of jobs came at once, all
 * the writes and, with the retries, all the requests went to them: a leader's renewals were refused until its lease
 * expired, and nobody could take over for seconds.
 */
const USER_WRITES_SHARE = 0.65;
/** Jobs that come together are accepted together, up to the writes of so many seconds. */
const WRITE_BURST_S = 4;

/** Token buckets that follow the store's limits. */
export class UserBudgets {
  /** Reads of jobs that this controller has not seen before. */
  readonly firstReads: TokenBucket;
  private readonly writes: TokenBucket;

  constructor(
    { clock, settings, storeLimits }: ControllerContext,
    /** Controllers that draw on the store's limits, this one included. */
    private readonly controllerCount: () => number,
  ) {
    this.firstReads = new TokenBucket(clock, 1, 1);
    this.writes = new TokenBucket(clock, 1, 1);
    storeLimits.onRateChange(() => {
      const readRate = (storeLimits.rps * FIRST_READS_SHARE) / (settings.peers.length + 1);
      this.firstReads.setRate(readRate, readRate);
      const writeRate = storeLimits.writeRps * USER_WRITES_SHARE;
      this.writes.setRate(writeRate, writeRate * WRITE_BURST_S);
    });
  }

  /** Every controller has its share of what all may write: a write here costs as many times more. */
  tryTakeWrites(count: number): boolean {
    return this.writes.tryTake(count * this.controllerCount());
  }

  /** Takes writes that must not wait, into debt if need be. */
  forceTakeWrites(count: number): void {
    this.writes.forceTake(count * this.controllerCount());
  }
}
