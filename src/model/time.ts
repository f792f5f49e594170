/** Times, durations, and the clock interface through which all components read time and set timers. */
import type { Branded } from './ids.js';

/** Milliseconds on this process's monotonic clock. Not comparable with the monotonic time of another process. */
export type MonotonicTime = Branded<number, 'MonotonicTime'>;
/** Wall-clock time in milliseconds since 1970, accurate to within the setting `clock_error_ms`. */
export type WallTime = Branded<number, 'WallTime'>;
/** A duration in milliseconds. */
export type Millis = Branded<number, 'Millis'>;

/** Maximum relative drift between two monotonic clocks (PROTOCOL). */
const MAX_CLOCK_DRIFT_RATIO = 0.0005;

/** Converts a number of milliseconds to a duration. */
export const ms = (count: number): Millis => count as Millis;
/** Converts a number of seconds to a duration. */
export const seconds = (count: number): Millis => (count * 1000) as Millis;
/** Returns the time `durationMs` after `time`. */
export const plus = (time: MonotonicTime, durationMs: number): MonotonicTime =>
  (time + durationMs) as MonotonicTime;
/** Returns the duration from `then` to `now`. */
export const since = (now: MonotonicTime, then: MonotonicTime): Millis => (now - then) as Millis;
/** Returns the maximum duration on this clock of `remoteMs` on another process's clock, for twice the maximum drift. */
export const maxLocalDuration = (remoteMs: number): Millis =>
  (remoteMs * (1 + 2 * MAX_CLOCK_DRIFT_RATIO)) as Millis;
/** Returns the minimum duration on this clock of `remoteMs` on another process's clock, for twice the maximum drift. */
export const minLocalDuration = (remoteMs: number): Millis =>
  (remoteMs * (1 - 2 * MAX_CLOCK_DRIFT_RATIO)) as Millis;

/** Cancels a timer or a subscription. */
export type Cancel = () => void;

/** Source of time and timers. Tests use a virtual clock. */
export interface Clock {
  now(): MonotonicTime;
  wall(): WallTime;
  /** Calls `run` once after `delayMs`, unless the returned function is called before. */
  after(delayMs: number, run: () => void): Cancel;
}

/** Returns a promise that resolves after `delayMs` on the given clock. */
export function sleep(clock: Clock, delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    clock.after(delayMs, resolve);
  });
}

/**
 * Waits for a promise, but no longer than `timeoutMs`. Returns whether the promise was fulfilled in time; rejects if the
 * promise is rejected in time.
 */
export function withTimeout(clock: Clock, promise: Promise<unknown>, timeoutMs: number): Promise<boolean> {
  return new Promise((resolve, reject) => {
    const cancel = clock.after(timeoutMs, () => resolve(false));
    promise.then(
      () => {
        cancel();
        resolve(true);
      },
      (error: Error) => {
        cancel();
        reject(error);
      },
    );
  });
}

/**
 * Calls `run` repeatedly, with a fixed delay between the end of one run and the start of the next. Returns a function
 * that stops the calls.
 */
export function runPeriodically(clock: Clock, delayMs: number, run: () => void): Cancel {
  let isStopped = false;
  let cancelTimer: Cancel = () => {};
  const scheduleNext = (): void => {
    cancelTimer = clock.after(delayMs, () => {
      run();
      if (!isStopped) scheduleNext();
    });
  };
  scheduleNext();
  return () => {
    isStopped = true;
    cancelTimer();
  };
}

/** Clock of the operating system. */
export const systemClock: Clock = {
  now: () => performance.now() as MonotonicTime,
  wall: () => Date.now() as WallTime,
  after(delayMs, run) {
    const timer = setTimeout(run, Math.max(0, delayMs));
    return () => clearTimeout(timer);
  },
};
