/** The shares of the key-value store's rate limits that user requests may use. */
import type { ControllerContext } from '../core/context.js';
import { sleep } from '../model/time.js';
import { TokenBucket } from '../net/token-bucket.js';

/**
 * The fraction of the store's request limit that all controllers together may use to read jobs they have not cached.
 */
const JOB_READ_RATIO = 0.25;
/**
 * The fraction of the store's write limit that all controllers together may use for user requests. Without this bound,
 * hundreds of jobs submitted at once use up all writes and, with their retries, all requests: the store refuses the
 * leader's lease renewals until the lease expires, and no controller can take over for seconds.
 */
const USER_WRITE_RATIO = 0.65;
/**
 * The burst of user writes, in seconds of the write rate: jobs submitted at once are accepted at once up to this bound.
 */
const WRITE_BURST_S = 4;

/** Token buckets for user requests, whose rates follow the store's limits. */
export class UserBudgets {
  private readonly jobReads: TokenBucket;
  private readonly writes: TokenBucket;
  private lastJobRead: Promise<void> = Promise.resolve();
  private jobReadRate = 1;

  constructor(
    private readonly ctx: Pick<ControllerContext, 'clock' | 'settings' | 'storeLimits'>,
    /** Returns the number of controllers that share the store's limits, this controller included. */
    private readonly controllerCount: () => number,
  ) {
    const { clock, settings, storeLimits } = ctx;
    this.jobReads = new TokenBucket(clock, 1, 1);
    this.writes = new TokenBucket(clock, 1, 1);
    storeLimits.onRateChange(() => {
      this.jobReadRate = (storeLimits.rps * JOB_READ_RATIO) / (settings.peers.length + 1);
      this.jobReads.setRate(this.jobReadRate, Math.max(1, this.jobReadRate));
      const writeRate = storeLimits.writeRps * USER_WRITE_RATIO;
      this.writes.setRate(writeRate, writeRate * WRITE_BURST_S);
    });
  }

  /** The requests a second that this controller may send to read jobs that are not cached. */
  get jobReadsPerS(): number {
    return this.jobReadRate;
  }

  /** Waits until a request that reads uncached jobs may be sent; callers are served in the order of their calls. */
  acquireJobRead(): Promise<void> {
    this.lastJobRead = this.lastJobRead.then(() => this.waitForJobRead());
    return this.lastJobRead;
  }

  private async waitForJobRead(): Promise<void> {
    while (!this.jobReads.tryTake()) await sleep(this.ctx.clock, Math.ceil(this.jobReads.waitMs()));
  }

  /**
   * Takes the tokens of `count` writes; false: too few are left. The bucket holds the rate of all controllers, so each
   * write takes one token for each controller.
   */
  tryTakeWrites(count: number): boolean {
    return this.writes.tryTake(count * this.controllerCount());
  }

  /** Takes the tokens of `count` writes that must not be delayed; the number of tokens may become negative. */
  forceTakeWrites(count: number): void {
    this.writes.forceTake(count * this.controllerCount());
  }
}
