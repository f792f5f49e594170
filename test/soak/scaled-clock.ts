/** The clock of scenarios that run on real processes. */
import { type Clock, systemClock, type MonotonicTime } from '../../src/model/time.js';

/**
 * The clock of simulated users and faults. With a scale below 1, this clock runs faster than real time, to match the
 * controllers' settings, whose leases and deadlines are shorter than on a simulated site by the same factor.
 */
export class ScaledClock implements Pick<Clock, 'now' | 'after'> {
  /** `scale` is the number of real milliseconds for each millisecond of this clock. */
  constructor(readonly scale: number) {}

  now(): MonotonicTime {
    return (systemClock.now() / this.scale) as MonotonicTime;
  }

  after(delayMs: number, run: () => void): () => void {
    return systemClock.after(delayMs * this.scale, run);
  }

  sleep(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.after(durationMs, resolve);
    });
  }
}
