/** A virtual clock that only tests advance, and clocks of simulated processes, which tests can pause and kill. */

interface Timer {
  readonly at: number;
  readonly order: number;
  run: (() => void) | null;
}

/** Returns whether the first timer runs before the second. Timers due at the same time run in the order of creation. */
const isEarlier = (left: Timer, right: Timer): boolean =>
  left.at < right.at || (left.at === right.at && left.order < right.order);

/** A clock for simulated processes: monotonic time, wall time and timers, in milliseconds. */
export interface SimulatedClock {
  now(): number;
  wall(): number;
  after(delayMs: number, run: () => void): () => void;
}

/** The wall time at which simulations begin, in milliseconds since the Unix epoch (1970-01-01 UTC). */
const START_WALL_TIME_MS = 1_790_000_000_000;

/** A clock whose time changes only in `advance`, which runs the due timers in order. */
export class VirtualClock implements SimulatedClock {
  private currentMs = 0;
  private nextTimerOrder = 0;
  /**
   * A binary heap with the earliest timer first, because full-size simulated sites have tens of thousands of timers.
   */
  private readonly timers: Timer[] = [];

  now(): number {
    return this.currentMs;
  }

  wall(): number {
    return START_WALL_TIME_MS + this.currentMs;
  }

  after(delayMs: number, run: () => void): () => void {
    const timer: Timer = { at: this.currentMs + Math.max(0, delayMs), order: this.nextTimerOrder++, run };
    const { timers } = this;
    let index = timers.push(timer) - 1;
    while (index > 0) {
      const parent = (index - 1) >>> 1;
      if (!isEarlier(timer, timers[parent] as Timer)) break;
      timers[index] = timers[parent] as Timer;
      index = parent;
    }
    timers[index] = timer;
    return () => {
      timer.run = null;
    };
  }

  private removeFirst(): void {
    const { timers } = this;
    const last = timers.pop();
    if (!last || timers.length === 0) return;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= timers.length) break;
      if (child + 1 < timers.length && isEarlier(timers[child + 1] as Timer, timers[child] as Timer)) child++;
      if (!isEarlier(timers[child] as Timer, last)) break;
      timers[index] = timers[child] as Timer;
      index = child;
    }
    timers[index] = last;
  }

  /** Advances the time by `ms`. Runs all timers that become due, and the continuations of promises that they settle. */
  async advance(ms: number): Promise<void> {
    const until = this.currentMs + ms;
    for (;;) {
      await flushMicrotasks();
      const next = this.timers[0];
      if (!next || next.at > until) break;
      this.removeFirst();
      this.currentMs = next.at;
      next.run?.();
    }
    this.currentMs = until;
  }
}

/** Resolves after all pending microtasks have run, since every microtask runs before the next immediate. */
function flushMicrotasks(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/** The clock of a simulated process. No timer runs while the process is paused or after the process was killed. */
export class ProcessClock implements SimulatedClock {
  isAlive = true;
  private isPaused = false;
  private readonly pendingCallbacks: (() => void)[] = [];

  constructor(
    private readonly base: SimulatedClock,
    /** The offset of this process's wall clock, in milliseconds. */
    private readonly wallOffsetMs = 0,
  ) {}

  now(): number {
    return this.base.now();
  }

  wall(): number {
    return this.base.wall() + this.wallOffsetMs;
  }

  after(delayMs: number, run: () => void): () => void {
    return this.base.after(delayMs, () => this.whenRunning(run));
  }

  /** Runs the callback now, or at the next resume if the process is paused. After a kill, the callback never runs. */
  whenRunning(run: () => void): void {
    if (this.isPaused) this.pendingCallbacks.push(run);
    else if (this.isAlive) run();
  }

  /** Pauses the process. The time continues, but callbacks are deferred. */
  pause(): void {
    this.isPaused = true;
  }

  /** Resumes the process and runs the callbacks that became due during the pause. */
  resume(): void {
    this.isPaused = false;
    for (const run of this.pendingCallbacks.splice(0)) this.whenRunning(run);
  }
}
