/** Time that moves only when a test moves it, and the clocks of processes that stop, die or start again. */

interface Timer {
  readonly at: number;
  readonly order: number;
  run: (() => void) | null;
}

/** Timers of one moment run in the order in which they were set. */
const sooner = (a: Timer, b: Timer): boolean => a.at < b.at || (a.at === b.at && a.order < b.order);

/** What processes in a simulation read time from. */
export interface SimulatedClock {
  now(): number;
  wall(): number;
  after(delayMs: number, run: () => void): () => void;
}

/** The time of day at which simulations begin. */
const EPOCH_MS = 1_790_000_000_000;

/** A queue of timers, run in order by `advance`. */
export class VirtualClock implements SimulatedClock {
  private time = 0;
  private order = 0;
  /** A binary heap, the soonest first: sites at size have tens of thousands of timers. */
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
    let i = timers.push(timer) - 1;
    while (i > 0) {
      const parent = (i - 1) >>> 1;
      if (!sooner(timer, timers[parent] as Timer)) break;
      timers[i] = timers[parent] as Timer;
      i = parent;
    }
    timers[i] = timer;
    return () => {
      timer.run = null;
    };
  }

  private takeFirst(): void {
    const { timers } = this;
    const last = timers.pop();
    if (!last || timers.length === 0) return;
    let i = 0;
    for (;;) {
      let child = 2 * i + 1;
      if (child >= timers.length) break;
      if (child + 1 < timers.length && sooner(timers[child + 1] as Timer, timers[child] as Timer)) child++;
      if (!sooner(timers[child] as Timer, last)) break;
      timers[i] = timers[child] as Timer;
      i = child;
    }
    timers[i] = last;
  }

  /** Runs everything that falls due within so many milliseconds. */
  async advance(ms: number): Promise<void> {
    const until = this.time + ms;
    for (;;) {
      await settle();
      const next = this.timers[0];
      if (!next || next.at > until) break;
      this.takeFirst();
      this.time = next.at;
      next.run?.();
    }
    this.time = until;
  }
}

/** Lets every promise that can go on do so: all microtasks run before the next immediate. */
function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/** The clock of one process: nothing of it runs after the process was killed, or while it is stopped. */
export class ProcessClock implements SimulatedClock {
  alive = true;
  private still = false;
  private readonly due: (() => void)[] = [];

  constructor(
    private readonly base: SimulatedClock,
    /** How far this machine's time of day is off. */
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

  /** Runs now, or when the stopped process goes on; never once it was killed. */
  whenRunning(run: () => void): void {
    if (this.still) this.due.push(run);
    else if (this.alive) run();
  }

  /** The process stands still while its clock runs on. */
  stop(): void {
    this.still = true;
  }

  /** All that fell due meanwhile runs at once. */
  goOn(): void {
    this.still = false;
    for (const run of this.due.splice(0)) this.whenRunning(run);
  }
}
