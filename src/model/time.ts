/** Times, durations and the clock that everything is handed that reads time or waits. */
import type { Branded } from './ids.js';

/** Milliseconds on this process's monotonic clock. Never compared with another process's. */
export type MonotonicTime = Branded<number, 'MonotonicTime'>;
/** Milliseconds since 1970 by the time of day; exact within the settings' `clock_error_ms`. */
export type WallTime = Branded<number, 'WallTime'>;
/** A duration in milliseconds. */
export type Millis = Branded<number, 'Millis'>;

/** The largest relative drift between two monotonic clocks (PROTOCOL). */
const MAX_CLOCK_DRIFT = 0.0005;

/** A duration of so many milliseconds. */
export const ms = (count: number): Millis => count as Millis;
/** A duration of so many seconds. */
export const seconds = (count: number): Millis => (count * 1000) as Millis;
/** The time that is `durationMs` after `time`. */
export const plus = (time: MonotonicTime, durationMs: number): MonotonicTime =>
  (time + durationMs) as MonotonicTime;
/** The duration from `then` to `now`. */
export const since = (now: MonotonicTime, then: MonotonicTime): Millis => (now - then) as Millis;
/** The longest that a duration on another process's clock can last on ours. */
export const maxLocalDuration = (remoteMs: number): Millis =>
  (remoteMs * (1 + 2 * MAX_CLOCK_DRIFT)) as Millis;
/** The shortest that a duration on another process's clock can last on ours. */
export const minLocalDuration = (remoteMs: number): Millis =>
  (remoteMs * (1 - 2 * MAX_CLOCK_DRIFT)) as Millis;

/** Cancels a timer or a subscription. */
export type Cancel = () => void;

/** A source of time and timers; tests use a virtual one. */
export interface Clock {
  now(): MonotonicTime;
  wall(): WallTime;
  /** Calls `run` once after `delayMs`. */
  after(delayMs: number, run: () => void): Cancel;
}

/** Resolves after `delayMs` on this clock. */
export function sleep(clock: Clock, delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    clock.after(delayMs, resolve);
  });
}

/** Calls `run` with a fixed delay between the end of one run and the start of the next, until it is cancelled. */
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

/** The clock of the operating system. */
export const systemClock: Clock = {
  now: () => performance.now() as MonotonicTime,
  wall: () => Date.now() as WallTime,
  after(delayMs, run) {
    const timer = setTimeout(run, Math.max(0, delayMs));
    return () => clearTimeout(timer);
  },
};
