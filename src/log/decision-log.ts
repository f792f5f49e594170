/** Rate-limited log lines for single scheduling decisions, and counters of all decisions. */
import type { Clock } from '../model/time.js';
import { TokenBucket } from '../net/token-bucket.js';
import type { Logger } from './logger.js';

const MAX_LINES_PER_S = 5;
const MAX_LINE_BURST = 40;

/**
 * Counts decisions by kind, and logs decisions with all their fields up to a rate limit: the first `MAX_LINE_BURST` of
 * a burst, then `MAX_LINES_PER_S` per second.
 */
export class DecisionLog {
  private readonly lineRateLimiter: TokenBucket;
  private counts = new Map<string, number>();
  private suppressed = 0;

  constructor(
    private readonly logger: Logger,
    clock: Clock,
  ) {
    this.lineRateLimiter = new TokenBucket(clock, MAX_LINES_PER_S, MAX_LINE_BURST);
  }

  /**
   * Counts a decision, and logs the decision if lines of level `info` are written and the rate limit allows; `fields`
   * is only called if a line is written.
   */
  logDecision(kind: string, fields: () => object): void {
    this.count(kind);
    if (!this.logger.isInfoEnabled) return;
    if (this.lineRateLimiter.tryTake()) this.logger.info(fields(), kind);
    else this.suppressed++;
  }

  /** Counts a decision without logging the decision, for kinds that are too frequent for a line each. */
  count(kind: string): void {
    this.counts.set(kind, (this.counts.get(kind) ?? 0) + 1);
  }

  /**
   * Returns the counts since the previous call, for the `summary` log line, and resets them to 0. `suppressed` is the
   * number of lines that the rate limit suppressed.
   */
  takeCounts(): Record<string, number> {
    const counts = { ...Object.fromEntries(this.counts), suppressed: this.suppressed };
    this.counts = new Map();
    this.suppressed = 0;
    return counts;
  }
}
