/** Notices a falling rate of arrivals sooner than the predictors do. */
import { type Millis, type MonotonicTime, since } from '../model/time.js';

/** Past slots whose arrivals are remembered. */
const KEPT_SLOTS = 4;
/** With fewer arrivals in a usual slot than this, their absence says little. */
const MIN_USUAL_ARRIVALS = 6;
/** How many times below their usual number arrivals may fall before the forecast follows. */
const TOLERATED_FALL = 2;

/**
 * How far arrivals have lately fallen below what they were. The predictors see whole slots, and need
 * several to believe that demand has ended; meanwhile machines would be kept for it.
 */
export class Arrivals {
  private readonly pastCounts: number[] = [];
  private recentTimes: MonotonicTime[] = [];
  private currentCount = 0;

  recordArrival(now: MonotonicTime): void {
    this.currentCount++;
    this.recentTimes.push(now);
  }

  endSlot(): void {
    this.pastCounts.push(this.currentCount);
    if (this.pastCounts.length > KEPT_SLOTS) this.pastCounts.shift();
    this.currentCount = 0;
  }

  /** The share of a forecast, up to 1, that the arrivals within the last slot's length still support. */
  confirmedShare(now: MonotonicTime, slot: Millis): number {
    this.recentTimes = this.recentTimes.filter((time) => since(now, time) < slot);
    if (this.pastCounts.length === 0) return 1;
    const usual = this.pastCounts.reduce((sum, count) => sum + count, 0) / this.pastCounts.length;
    if (usual < MIN_USUAL_ARRIVALS) return 1;
    return Math.min(1, (TOLERATED_FALL * this.recentTimes.length + 1) / usual);
  }
}
