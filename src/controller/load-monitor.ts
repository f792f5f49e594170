/** Measures how much of the processor time that it gets this process uses. */
import { type Clock, runPeriodically } from '../model/time.js';

const SAMPLE_INTERVAL_MS = 500;
/** The weight of the former value at each sample. */
const SMOOTHING = 0.5;

/** A reading of the event loop, as `performance.eventLoopUtilization` gives it. */
interface LoopReading {
  readonly idle: number;
  readonly active: number;
}

/**
 * The share of the last moments in which the event loop was busy, smoothed. On a share of a core, time passes while
 * the process may not run: a process that uses up its share is seen here as one that is always busy.
 */
export class LoadMonitor {
  private smoothed = 0;
  private last: LoopReading;

  constructor(
    clock: Clock,
    private readonly read: () => LoopReading = () => performance.eventLoopUtilization(),
  ) {
    this.last = read();
    runPeriodically(clock, SAMPLE_INTERVAL_MS, () => this.sample());
  }

  /** Between 0 and 1. */
  get load(): number {
    return this.smoothed;
  }

  private sample(): void {
    const now = this.read();
    const active = now.active - this.last.active;
    const elapsed = active + now.idle - this.last.idle;
    this.last = now;
    if (elapsed > 0) this.smoothed = this.smoothed * SMOOTHING + (active / elapsed) * (1 - SMOOTHING);
  }
}
