import type { Histogram } from 'hdr-histogram-js';
// The package's index also loads its log writer, number formats and WebAssembly: 40 ms of each start.
import { constructorFromBucketSize } from 'hdr-histogram-js/dist/JsHistogramFactory.js';

const Int32Histogram = constructorFromBucketSize(32);
const UNIT_MS = 100;
/** In units: a day. */
const LONGEST_UNITS = 864_000;
const SIGNIFICANT_DIGITS = 2;
const LOOK_AGAIN = 1.05;
const LEAST_LEFT = 0.2;

/** Run times seen per class of jobs: the empirical F of the paper's equation 9. */
export class Lifetimes {
  private readonly seen = new Map<string, Histogram>();
  /** Shares already looked up, by whole seconds; made anew once the class has grown by a part. */
  private readonly looked = new Map<string, { count: number; shares: Map<number, number> }>();
  /** Run and estimated time per class: owners are mostly too high on some days, too low on others. */
  private readonly sums = new Map<string, { ran: number; estimated: number }>();

  recordRun(jobClass: string, ms: number, estimateMs = 0): void {
    if (estimateMs > 0) {
      const sum = this.sums.get(jobClass) ?? { ran: 0, estimated: 0 };
      sum.ran += ms;
      sum.estimated += estimateMs;
      this.sums.set(jobClass, sum);
    }
    let h = this.seen.get(jobClass);
    if (!h) {
      h = new Int32Histogram(1, LONGEST_UNITS, SIGNIFICANT_DIGITS);
      this.seen.set(jobClass, h);
    }
    h.recordValue(Math.min(LONGEST_UNITS, Math.max(1, Math.round(ms / UNIT_MS))));
  }

  /** The owner's estimate, corrected by how far the class's estimates have been off. */
  private expected(jobClass: string, estimateMs: number): number {
    const sum = this.sums.get(jobClass);
    if (!sum || this.count(jobClass) < 8) return estimateMs;
    return estimateMs * Math.min(3, Math.max(0.3, sum.ran / sum.estimated));
  }

  /** The same for a task of this job, in ms. */
  expectedRunMs({
    jobClass,
    estimatedRunS,
  }: {
    readonly jobClass: string;
    readonly estimatedRunS: number;
  }): number {
    return this.expected(jobClass, estimatedRunS * 1000);
  }

  /** How long such a task is still expected to run after so many ms; one that has outrun its expectation, a part of it. */
  expectedRemainingMs(
    spec: { readonly jobClass: string; readonly estimatedRunS: number },
    ranMs: number,
  ): number {
    const runMs = this.expectedRunMs(spec);
    return Math.max(runMs * LEAST_LEFT, runMs - ranMs);
  }

  count(jobClass: string): number {
    return this.seen.get(jobClass)?.totalCount ?? 0;
  }

  /** Share of run times up to `ms`. */
  within(jobClass: string, ms: number): number {
    const h = this.seen.get(jobClass);
    if (!h || h.totalCount === 0) return 0;
    let looked = this.looked.get(jobClass);
    if (!looked || h.totalCount > looked.count * LOOK_AGAIN) {
      looked = { count: h.totalCount, shares: new Map() };
      this.looked.set(jobClass, looked);
    }
    // Thousands of running tasks ask for the same few hundred ages.
    const age = Math.round(ms / 1000);
    let share = looked.shares.get(age);
    if (share === undefined) {
      share = shareUpTo(h, (age * 1000) / UNIT_MS);
      looked.shares.set(age, share);
    }
    return share;
  }

  /**
   * Chance that a task of age `age` ends within `slot`: (F(a+s) − F(a)) / (1 − F(a)). Before
   * anything has been seen, the owner's estimate stands in for the median of an exponential.
   */
  endProbability(jobClass: string, age: number, slot: number, estimateMs: number): number {
    if (this.count(jobClass) < 8) {
      return estimateMs > 0 ? 1 - Math.exp((-Math.LN2 * slot) / estimateMs) : 0;
    }
    const before = this.within(jobClass, age);
    if (before >= 1) return 1;
    return (this.within(jobClass, age + slot) - before) / (1 - before);
  }
}

function shareUpTo(h: Histogram, value: number): number {
  if (value >= h.maxValue) return 1;
  if (value < h.minNonZeroValue) return 0;
  let low = 0;
  let high = 100;
  for (let i = 0; i < 12; i++) {
    const mid = (low + high) / 2;
    if (h.getValueAtPercentile(mid) <= value) low = mid;
    else high = mid;
  }
  return low / 100;
}
