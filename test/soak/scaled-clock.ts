/** The clock of scenarios on real processes. */
import { type Clock, systemClock, type MonotonicTime } from '../../src/model/time.js';

/**
 * The time of users and faults: faster than real time, since leases and limits in the controllers' settings are shorter
 * than those of a simulated site.
 */
export class ScaledClock implements Pick<Clock, 'now' | 'after'> {
  /** `scale`: the real duration of one millisecond of this clock. */
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
