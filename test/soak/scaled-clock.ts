import { type Clock, systemClock, type MonotonicTime } from '../../src/model/time.js';

/**
 * The time of users and troubles on real processes: faster than the wall's, as leases and limits in the controllers'
 * settings are shorter than those of the virtual site.
 */
export class ScaledClock implements Pick<Clock, 'now' | 'after'> {
  /** `scale`: real milliseconds that one of ours lasts. */
  constructor(readonly scale: number) {}

  now(): MonotonicTime {
    return (systemClock.now() / this.scale) as MonotonicTime;
  }

  after(d: number, run: () => void): () => void {
    return systemClock.after(d * this.scale, run);
  }

  sleep(d: number): Promise<void> {
    return new Promise((resolve) => {
      this.after(d, resolve);
    });
  }
}
