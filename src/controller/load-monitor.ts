/** Measures which fraction of its available processor time this process uses. */
import { type Clock, runPeriodically } from '../model/time.js';

/** How often the event loop's utilization is sampled. */
const SAMPLE_INTERVAL_MS = 500;
/** The weight of the previous smoothed value when a sample is added, between 0 and 1. */
const SMOOTHING_RATIO = 0.5;

/** Idle and active time of the event loop in milliseconds, as `performance.eventLoopUtilization` returns them. */
interface EventLoopReading {
  readonly idle: number;
  readonly active: number;
}

/**
 * Measures the smoothed fraction of recent time in which the event loop was active. If the process is limited to a
 * share of a processor core, the time during which the process is throttled counts as active, so a process that
 * exhausts its share has a load near 1.
 */
export class LoadMonitor {
  private smoothedLoad = 0;
  private lastReading: EventLoopReading;

  constructor(
    clock: Clock,
    private readonly read: () => EventLoopReading = () => performance.eventLoopUtilization(),
  ) {
    this.lastReading = read();
    runPeriodically(clock, SAMPLE_INTERVAL_MS, () => this.sample());
  }

  /** The smoothed utilization of the event loop, between 0 and 1. */
  get load(): number {
    return this.smoothedLoad;
  }

  private sample(): void {
    const reading = this.read();
    const active = reading.active - this.lastReading.active;
    const elapsed = active + reading.idle - this.lastReading.idle;
    this.lastReading = reading;
    if (elapsed > 0)
      this.smoothedLoad = this.smoothedLoad * SMOOTHING_RATIO + (active / elapsed) * (1 - SMOOTHING_RATIO);
  }
}
