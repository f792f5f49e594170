/** Run times by job class: how long tasks take, and how probable it is that one ends soon. */
import type { Histogram } from 'hdr-histogram-js';
// The package's index also loads its log writer, number formats and WebAssembly: 40 ms of each start.
import { constructorFromBucketSize } from 'hdr-histogram-js/dist/JsHistogramFactory.js';
import type { JobSpec } from '../model/job.js';

const Int32Histogram = constructorFromBucketSize(32);
/** The resolution of the histograms. */
const UNIT_MS = 100;
/** The longest run time that is distinguished from longer ones: a day. */
const MAX_UNITS = 864_000;
const SIGNIFICANT_DIGITS = 2;
/** Growth of a class after which its cached shares are looked up anew. */
const CACHE_GROWTH = 1.05;
/** With fewer runs of a class than this, its owner's estimates are all that is used. */
const MIN_RUNS = 8;
/** How far estimates may be corrected either way. */
const MIN_CORRECTION = 0.3;
const MAX_CORRECTION = 3;
/** A task that has outrun its expectation is expected to run for this part of it. */
const MIN_REMAINING_SHARE = 0.2;
/** Halvings of the interval in which a percentile is searched: 100% / 2^12 is 0.02%. */
const PERCENTILE_SEARCH_STEPS = 12;

type EstimatedJob = Pick<JobSpec, 'jobClass' | 'estimatedRunS'>;

interface CachedShares {
  /** How many runs the histogram had. */
  readonly runCount: number;
  /** By run time in whole seconds. */
  readonly shares: Map<number, number>;
}

interface EstimateTotals {
  runMs: number;
  estimatedMs: number;
}

/** Run times observed per job class: the empirical F of the paper's equation 9. */
export class Lifetimes {
  private readonly histograms = new Map<string, Histogram>();
  private readonly cachedShares = new Map<string, CachedShares>();
  /** Actual and estimated run times by class: owners are mostly too high on some days, too low on others. */
  private readonly estimateTotals = new Map<string, EstimateTotals>();

  /** Records how long a task ran; without an estimate it doesn't count for the estimates' correction. */
  recordRun(jobClass: string, runMs: number, estimatedMs = 0): void {
    if (estimatedMs > 0) {
      const totals = this.estimateTotals.get(jobClass) ?? { runMs: 0, estimatedMs: 0 };
      totals.runMs += runMs;
      totals.estimatedMs += estimatedMs;
      this.estimateTotals.set(jobClass, totals);
    }
    let histogram = this.histograms.get(jobClass);
    if (!histogram) {
      histogram = new Int32Histogram(1, MAX_UNITS, SIGNIFICANT_DIGITS);
      this.histograms.set(jobClass, histogram);
    }
    histogram.recordValue(Math.min(MAX_UNITS, Math.max(1, Math.round(runMs / UNIT_MS))));
  }

  /** The expected run time of a task, ms: its owner's estimate, corrected by how far the class's estimates were off. */
  expectedRunMs({ jobClass, estimatedRunS }: EstimatedJob): number {
    const estimatedMs = estimatedRunS * 1000;
    const totals = this.estimateTotals.get(jobClass);
    if (!totals || this.count(jobClass) < MIN_RUNS) return estimatedMs;
    const correction = totals.runMs / totals.estimatedMs;
    return estimatedMs * Math.min(MAX_CORRECTION, Math.max(MIN_CORRECTION, correction));
  }

  /** How long a task is still expected to run, ms, after it has run for `ranMs`. */
  expectedRemainingMs(job: EstimatedJob, ranMs: number): number {
    const runMs = this.expectedRunMs(job);
    return Math.max(runMs * MIN_REMAINING_SHARE, runMs - ranMs);
  }

  /** How many runs of the class were recorded. */
  private count(jobClass: string): number {
    return this.histograms.get(jobClass)?.totalCount ?? 0;
  }

  /** The share of run times up to `runMs`: F of the paper's equation 9. */
  private shareUpTo(jobClass: string, runMs: number): number {
    const histogram = this.histograms.get(jobClass);
    if (!histogram || histogram.totalCount === 0) return 0;
    let cached = this.cachedShares.get(jobClass);
    if (!cached || histogram.totalCount > cached.runCount * CACHE_GROWTH) {
      cached = { runCount: histogram.totalCount, shares: new Map() };
      this.cachedShares.set(jobClass, cached);
    }
    // Thousands of running tasks ask for the same few hundred ages.
    const seconds = Math.round(runMs / 1000);
    let share = cached.shares.get(seconds);
    if (share === undefined) {
      share = histogramShareUpTo(histogram, (seconds * 1000) / UNIT_MS);
      cached.shares.set(seconds, share);
    }
    return share;
  }

  /**
   * The probability that a task of age `ageMs` ends within the next `slotMs`: (F(a+s) − F(a)) / (1 − F(a)). Until
   * enough runs were recorded, the owner's estimate stands in for the median of an exponential distribution.
   */
  endProbability(jobClass: string, ageMs: number, slotMs: number, estimatedMs: number): number {
    if (this.count(jobClass) < MIN_RUNS) {
      return estimatedMs > 0 ? 1 - Math.exp((-Math.LN2 * slotMs) / estimatedMs) : 0;
    }
    const endedBefore = this.shareUpTo(jobClass, ageMs);
    if (endedBefore >= 1) return 1;
    return (this.shareUpTo(jobClass, ageMs + slotMs) - endedBefore) / (1 - endedBefore);
  }
}

/** The share of a histogram's values up to this one, by binary search over its percentiles. */
function histogramShareUpTo(histogram: Histogram, value: number): number {
  if (value >= histogram.maxValue) return 1;
  if (value < histogram.minNonZeroValue) return 0;
  let low = 0;
  let high = 100;
  for (let step = 0; step < PERCENTILE_SEARCH_STEPS; step++) {
    const middle = (low + high) / 2;
    if (histogram.getValueAtPercentile(middle) <= value) low = middle;
    else high = middle;
  }
  return low / 100;
}
