/** Virtual time that only tests advance, and clocks of simulated processes that pause and die. */

interface Timer {
  readonly at: number;
  readonly order: number;
  run: (() => void) | null;
}

/** Orders timers by time; those of the same time run in the order in which they were set. */
const isEarlier = (first: Timer, second: Timer): boolean =>
  first.at < second.at || (first.at === second.at && first.order < second.order);

/** The clock that simulated processes use. */
export interface SimulatedClock {
  now(): number;
  wall(): number;
  after(delayMs: number, run: () => void): () => void;
}

/** The time of day at which simulations begin, in milliseconds since 1970. */
const EPOCH_MS = 1_790_000_000_000;

/** A queue of timers that `advance` runs in order. */
export class VirtualClock implements SimulatedClock {
  private time = 0;
  private order = 0;
  /** A binary heap, the earliest first: full-size simulated sites have tens of thousands of timers. */
  private readonly timers: Timer[] = [];

  now(): number {
    return this.time;
  }

  wall(): number {
    return EPOCH_MS + this.time;
  }

  after(delayMs: number, run: () => void): () => void {
    const timer: Timer = { at: this.time + Math.max(0, delayMs), order: this.order++, run };
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

  /** Advances the time and runs all timers that become due, with the promises that they settle. */
  async advance(ms: number): Promise<void> {
    const until = this.time + ms;
    for (;;) {
      await settle();
      const next = this.timers[0];
      if (!next || next.at > until) break;
      this.removeFirst();
      this.time = next.at;
      next.run?.();
    }
    this.time = until;
  }
}

/** Lets all settled promises continue: every microtask runs before the next immediate. */
function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/** The clock of one process: none of its timers runs after the process was killed, or while it is paused. */
export class ProcessClock implements SimulatedClock {
  isAlive = true;
  private isPaused = false;
  private readonly pendingCallbacks: (() => void)[] = [];

  constructor(
    private readonly base: SimulatedClock,
    /** How far this process's time of day is off. */
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

  /** Runs the callback now, or when the paused process resumes; never once it was killed. */
  whenRunning(run: () => void): void {
    if (this.isPaused) this.pendingCallbacks.push(run);
    else if (this.isAlive) run();
  }

  /** Pauses the process; its clock continues. */
  pause(): void {
    this.isPaused = true;
  }

  /** Resumes the process; callbacks that became due meanwhile run at once. */
  resume(): void {
    this.isPaused = false;
    for (const run of this.pendingCallbacks.splice(0)) this.whenRunning(run);
  }
}
