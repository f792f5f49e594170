/** Log lines of single decisions at a bounded rate, and the numbers of all of them. */
import type { Clock } from '../model/time.js';
import { TokenBucket } from '../net/token-bucket.js';
import type { Logger } from './logger.js';

const LINES_PER_S = 5;
const MOST_LINES_AT_ONCE = 40;

/** Counts decisions by kind; the first ones of every moment are told in full. */
export class DecisionLog {
  private readonly budget: TokenBucket;
  private counts = new Map<string, number>();
  private suppressed = 0;

  constructor(
    private readonly log: Logger,
    clock: Clock,
  ) {
    this.budget = new TokenBucket(clock, LINES_PER_S, MOST_LINES_AT_ONCE);
  }

  /** `fields` is only asked for where a line is written. */
  logDecision(kind: string, fields: () => object): void {
    this.count(kind);
    if (!this.log.isInfoEnabled) return;
    if (this.budget.tryTake()) this.log.info(fields(), kind);
    else this.suppressed++;
  }

  /** Of what is too ordinary for a line. */
  count(kind: string): void {
    this.counts.set(kind, (this.counts.get(kind) ?? 0) + 1);
  }

  /** The numbers since the last call, for the summary. */
  takeCounts(): Record<string, number> {
    const numbers = { ...Object.fromEntries(this.counts), untold: this.suppressed };
    this.counts = new Map();
    this.suppressed = 0;
    return numbers;
  }
}
