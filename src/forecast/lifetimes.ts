/** Run-time statistics by job class: expected run times, and the probability that a task ends within a given time. */
import type { Histogram } from 'hdr-histogram-js';
// Importing the package's index would also load its log writer, number formats and WebAssembly, which adds 40 ms to
// each start.
import { constructorFromBucketSize } from 'hdr-histogram-js/dist/JsHistogramFactory.js';
import type { JobSpec } from '../model/job.js';

const Int32Histogram = constructorFromBucketSize(32);
/** The unit in which run times are recorded in the histograms. */
const HISTOGRAM_UNIT_MS = 100;
/** The longest run time that the histograms record, in histogram units: one day. Longer run times count as one day. */
const MAX_RUN_TIME_UNITS = 864_000;
const SIGNIFICANT_DIGITS = 2;
/** The growth of a class's run count after which its cached distribution is discarded. */
const CACHE_REFRESH_GROWTH_RATIO = 1.05;
/** The number of recorded runs of a class below which only the job owner's estimate is used. */
const MIN_RUN_COUNT = 8;
/** The smallest ratio by which an owner's estimate is corrected. */
const MIN_CORRECTION_RATIO = 0.3;
/** The largest ratio by which an owner's estimate is corrected. */
const MAX_CORRECTION_RATIO = 3;
/**
 * The minimum expected remaining run time, as a fraction of the expected run time, for tasks that run longer than
 * expected.
 */
const MIN_REMAINING_RATIO = 0.2;
/** The number of bisection steps in a percentile search; 12 steps give a resolution of 100% / 2^12, which is 0.02%. */
const PERCENTILE_SEARCH_STEPS = 12;

type EstimatedJob = Pick<JobSpec, 'jobClass' | 'estimatedRunS'>;

interface CachedDistribution {
  /** The number of runs in the histogram when the cache was created. */
  readonly runCount: number;
  /** The cumulative probability by run time in whole seconds. */
  readonly cumulativeBySecond: Map<number, number>;
}

interface EstimateTotals {
  runMs: number;
  estimatedMs: number;
}

/** The run times observed per job class, which give the empirical distribution F of the paper's equation 9. */
export class Lifetimes {
  private readonly histograms = new Map<string, Histogram>();
  private readonly cachedDistributions = new Map<string, CachedDistribution>();
  /**
   * The total actual and estimated run times by class. The error of estimates is systematic: on some days most
   * estimates are too high, on others too low.
   */
  private readonly estimateTotals = new Map<string, EstimateTotals>();

  /**
   * Records the run time of a task. A run without an estimate (`estimatedMs` is 0) does not affect the correction of
   * estimates.
   */
  recordRun(jobClass: string, runMs: number, estimatedMs = 0): void {
    if (estimatedMs > 0) {
      const totals = this.estimateTotals.get(jobClass) ?? { runMs: 0, estimatedMs: 0 };
      totals.runMs += runMs;
      totals.estimatedMs += estimatedMs;
      this.estimateTotals.set(jobClass, totals);
    }
    let histogram = this.histograms.get(jobClass);
    if (!histogram) {
      histogram = new Int32Histogram(1, MAX_RUN_TIME_UNITS, SIGNIFICANT_DIGITS);
      this.histograms.set(jobClass, histogram);
    }
    histogram.recordValue(Math.min(MAX_RUN_TIME_UNITS, Math.max(1, Math.round(runMs / HISTOGRAM_UNIT_MS))));
  }

  /**
   * Returns the expected run time of a task in milliseconds: the owner's estimate, corrected by the class's
   * estimation error within `MIN_CORRECTION_RATIO` and `MAX_CORRECTION_RATIO`, once `MIN_RUN_COUNT` runs are recorded.
   */
  expectedRunMs({ jobClass, estimatedRunS }: EstimatedJob): number {
    const estimatedMs = estimatedRunS * 1000;
    const totals = this.estimateTotals.get(jobClass);
    if (!totals || this.runCountOf(jobClass) < MIN_RUN_COUNT) return estimatedMs;
    const correction = totals.runMs / totals.estimatedMs;
    return estimatedMs * Math.min(MAX_CORRECTION_RATIO, Math.max(MIN_CORRECTION_RATIO, correction));
  }

  /** Returns the expected remaining run time, in milliseconds, of a task that has run for `ranMs`. */
  expectedRemainingMs(job: EstimatedJob, ranMs: number): number {
    const runMs = this.expectedRunMs(job);
    return Math.max(runMs * MIN_REMAINING_RATIO, runMs - ranMs);
  }

  /** Returns the number of recorded runs of a class. */
  private runCountOf(jobClass: string): number {
    return this.histograms.get(jobClass)?.totalCount ?? 0;
  }

  /** Returns the fraction of recorded runs that took at most `runMs`: F of the paper's equation 9. */
  private cumulativeProbability(jobClass: string, runMs: number): number {
    const histogram = this.histograms.get(jobClass);
    if (!histogram || histogram.totalCount === 0) return 0;
    let cached = this.cachedDistributions.get(jobClass);
    if (!cached || histogram.totalCount > cached.runCount * CACHE_REFRESH_GROWTH_RATIO) {
      cached = { runCount: histogram.totalCount, cumulativeBySecond: new Map() };
      this.cachedDistributions.set(jobClass, cached);
    }
    // Results are cached by second, because thousands of running tasks share a few hundred distinct ages.
    const seconds = Math.round(runMs / 1000);
    let cumulativeProbability = cached.cumulativeBySecond.get(seconds);
    if (cumulativeProbability === undefined) {
      cumulativeProbability = histogramCumulativeProbability(histogram, (seconds * 1000) / HISTOGRAM_UNIT_MS);
      cached.cumulativeBySecond.set(seconds, cumulativeProbability);
    }
    return cumulativeProbability;
  }

  /**
   * Returns the probability that a task that has run for `ageMs` ends within the next `durationMs`: (F(a+s) − F(a)) /
   * (1 − F(a)), and 1 if F(a) is 1. While fewer than `MIN_RUN_COUNT` runs are recorded, run times are assumed to be
   * exponentially distributed with the owner's estimate as the median; without an estimate, the result is then 0.
   */
  endProbability(jobClass: string, ageMs: number, durationMs: number, estimatedMs: number): number {
    if (this.runCountOf(jobClass) < MIN_RUN_COUNT) {
      return estimatedMs > 0 ? 1 - Math.exp((-Math.LN2 * durationMs) / estimatedMs) : 0;
    }
    const endedByAge = this.cumulativeProbability(jobClass, ageMs);
    if (endedByAge >= 1) return 1;
    return (this.cumulativeProbability(jobClass, ageMs + durationMs) - endedByAge) / (1 - endedByAge);
  }
}

/** Returns the fraction of a histogram's values that are at most `value`, by bisection over the percentiles. */
function histogramCumulativeProbability(histogram: Histogram, value: number): number {
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
