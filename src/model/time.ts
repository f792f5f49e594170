import type { Branded } from './ids.js';

/** Milliseconds on this node's steady clock. Never compared with another node's. */
export type MonotonicTime = Branded<number, 'Steady'>;
/** Milliseconds since 1970 by the time of day, within the settings' bound. */
export type WallTime = Branded<number, 'WallTime'>;
/** A duration in milliseconds. */
export type Millis = Branded<number, 'Millis'>;

/** Two steady clocks drift apart by at most this share (PROTOCOL). */
const CLOCK_DRIFT = 0.0005;

export const ms = (n: number): Millis => n as Millis;
export const seconds = (n: number): Millis => (n * 1000) as Millis;
export const plus = (t: MonotonicTime, d: number): MonotonicTime => (t + d) as MonotonicTime;
export const since = (now: MonotonicTime, then: MonotonicTime): Millis => (now - then) as Millis;
/** The longest that `d` on another machine's clock can last on ours. */
export const maxLocalDuration = (d: number): Millis => (d * (1 + 2 * CLOCK_DRIFT)) as Millis;
/** The shortest that `d` on another machine's clock can last on ours. */
export const minLocalDuration = (d: number): Millis => (d * (1 - 2 * CLOCK_DRIFT)) as Millis;

/** Calls something off. */
export type Cancel = () => void;

/** Everything that reads time or waits is handed one of these. */
export interface Clock {
  now(): MonotonicTime;
  wall(): WallTime;
  after(d: number, run: () => void): Cancel;
}

/** Resolves after `d` milliseconds of this clock. */
export function sleep(clock: Clock, d: number): Promise<void> {
  return new Promise((resolve) => {
    clock.after(d, resolve);
  });
}

/** Runs something at this pace, counted from the end of each run, until it is called off. */
export function runPeriodically(clock: Clock, everyMs: number, run: () => void): Cancel {
  let stopped = false;
  let cancel: Cancel = () => {};
  const next = (): void => {
    cancel = clock.after(everyMs, () => {
      run();
      if (!stopped) next();
    });
  };
  next();
  return () => {
    stopped = true;
    cancel();
  };
}

export const systemClock: Clock = {
  now: () => performance.now() as MonotonicTime,
  wall: () => Date.now() as WallTime,
  after(d, run) {
    const timer = setTimeout(run, Math.max(0, d));
    return () => clearTimeout(timer);
  },
};
