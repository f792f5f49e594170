/** Detection of a falling arrival rate of jobs, earlier than the predictors detect one. */
import { type Millis, type MonotonicTime, since } from '../model/time.js';

/** The number of past slots over which the mean arrival count is computed. */
const RETAINED_SLOT_COUNT = 4;
/** The mean number of arrivals per slot below which a drop is not significant. */
const MIN_MEAN_ARRIVAL_COUNT = 6;
/** The ratio of mean to recent arrivals up to which the forecast is not reduced. */
const TOLERATED_DROP_RATIO = 2;

/**
 * Detects how far recent arrivals have dropped below their mean. The predictors work on whole slots and need several
 * slots until they predict that demand has ended; until then, machines would be kept for demand that no longer
 * exists.
 */
export class ArrivalDropDetector {
  private readonly pastCounts: number[] = [];
  private recentTimes: MonotonicTime[] = [];
  private currentCount = 0;

  recordArrival(now: MonotonicTime): void {
    this.currentCount++;
    this.recentTimes.push(now);
  }

  endSlot(): void {
    this.pastCounts.push(this.currentCount);
    if (this.pastCounts.length > RETAINED_SLOT_COUNT) this.pastCounts.shift();
    this.currentCount = 0;
  }

  /**
   * Returns the fraction of a forecast, at most 1, that is supported by the arrivals within the last `slotMs`
   * milliseconds; 1 if no slot has ended or the mean is below `MIN_MEAN_ARRIVAL_COUNT`.
   */
  supportedForecastRatio(now: MonotonicTime, slotMs: Millis): number {
    this.recentTimes = this.recentTimes.filter((time) => since(now, time) < slotMs);
    if (this.pastCounts.length === 0) return 1;
    const meanArrivalCount = this.pastCounts.reduce((sum, count) => sum + count, 0) / this.pastCounts.length;
    if (meanArrivalCount < MIN_MEAN_ARRIVAL_COUNT) return 1;
    return Math.min(1, (TOLERATED_DROP_RATIO * this.recentTimes.length + 1) / meanArrivalCount);
  }
}
