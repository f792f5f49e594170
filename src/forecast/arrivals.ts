import { type Millis, type MonotonicTime, since } from '../model/time.js';

/** Slots whose arrivals are remembered. */
const KEEP = 4;
/** With fewer arrivals a slot than this, their absence tells little. */
const ENOUGH = 6;
/** Arrivals may fall this far below what is usual before the forecast follows. */
const USUAL = 2;

/**
 * How far arrivals have lately fallen below what they were. The predictors see whole slots, and need
 * several to believe that demand has ended; meanwhile machines would be kept for it.
 */
export class Arrivals {
  private readonly slots: number[] = [];
  private recent: MonotonicTime[] = [];
  private inSlot = 0;

  recordArrival(now: MonotonicTime): void {
    this.inSlot++;
    this.recent.push(now);
  }

  endSlot(): void {
    this.slots.push(this.inSlot);
    if (this.slots.length > KEEP) this.slots.shift();
    this.inSlot = 0;
  }

  /** The part of a forecast that the last slot's length of arrivals still bears out. */
  confirmedShare(now: MonotonicTime, slot: Millis): number {
    this.recent = this.recent.filter((t) => since(now, t) < slot);
    if (this.slots.length === 0) return 1;
    const usual = this.slots.reduce((a, b) => a + b, 0) / this.slots.length;
    if (usual < ENOUGH) return 1;
    return Math.min(1, (USUAL * this.recent.length + 1) / usual);
  }
}
