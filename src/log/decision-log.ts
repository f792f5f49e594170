/** Rate-limited log lines of single decisions, and the counts of all of them. */
import type { Clock } from '../model/time.js';
import { TokenBucket } from '../net/token-bucket.js';
import type { Logger } from './logger.js';

const MAX_LINES_PER_S = 5;
const MAX_BURST = 40;

/** Counts decisions by kind, and logs the first ones of every burst in full. */
export class DecisionLog {
  private readonly lineBudget: TokenBucket;
  private counts = new Map<string, number>();
  private suppressed = 0;

  constructor(
    private readonly logger: Logger,
    clock: Clock,
  ) {
    this.lineBudget = new TokenBucket(clock, MAX_LINES_PER_S, MAX_BURST);
  }

  /** Counts a decision and logs it, if the rate allows; `fields` is only called where a line is written. */
  logDecision(kind: string, fields: () => object): void {
    this.count(kind);
    if (!this.logger.isInfoEnabled) return;
    if (this.lineBudget.tryTake()) this.logger.info(fields(), kind);
    else this.suppressed++;
  }

  /** Counts a decision that is too frequent for a line. */
  count(kind: string): void {
    this.counts.set(kind, (this.counts.get(kind) ?? 0) + 1);
  }

  /** Returns the counts since the last call, for the summary. */
  takeCounts(): Record<string, number> {
    const taken = { ...Object.fromEntries(this.counts), suppressed: this.suppressed };
    this.counts = new Map();
    this.suppressed = 0;
    return taken;
  }
}
