import type { Clock, Steady, WallTime } from '../../src/model/time.js';

interface Timer {
  readonly at: number;
  readonly order: number;
  run: (() => void) | null;
}

/** Time that moves only when a test moves it. Timers of one moment run in the order they were set. */
export class VirtualClock implements Clock {
  private time = 0;
  private order = 0;
  /** Soonest last. */
  private readonly timers: Timer[] = [];

  now(): Steady {
    return this.time as Steady;
  }

  wall(): WallTime {
    return (1_790_000_000_000 + this.time) as WallTime;
  }

  after(d: number, run: () => void): () => void {
    const timer: Timer = { at: this.time + Math.max(0, d), order: this.order++, run };
    // Of one moment the later set runs later: it goes before all that are due then or sooner.
    let low = 0;
    let high = this.timers.length;
    while (low < high) {
      const mid = (low + high) >>> 1;
      if ((this.timers[mid] as Timer).at > timer.at) low = mid + 1;
      else high = mid;
    }
    this.timers.splice(low, 0, timer);
    return () => {
      timer.run = null;
    };
  }

  async advance(ms: number): Promise<void> {
    const until = this.time + ms;
    for (;;) {
      await settle();
      const next = this.timers[this.timers.length - 1];
      if (!next || next.at > until) break;
      this.timers.pop();
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

/** The clock of one process: nothing of it runs after the process was killed. */
export class ProcessClock implements Clock {
  alive = true;

  constructor(private readonly base: Clock) {}

  now(): Steady {
    return this.base.now();
  }

  wall(): WallTime {
    return this.base.wall();
  }

  after(d: number, run: () => void): () => void {
    return this.base.after(d, () => {
      if (this.alive) run();
    });
  }
}
