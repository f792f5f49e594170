import type { Clock, Steady, WallTime } from '../../src/model/time.js';

interface Timer {
  at: number;
  order: number;
  run: () => void;
}

/** Time that moves only when a test moves it. Timers of one moment run in the order they were set. */
export class VirtualClock implements Clock {
  private time = 0;
  private order = 0;
  private timers: Timer[] = [];

  now(): Steady {
    return this.time as Steady;
  }

  wall(): WallTime {
    return (1_790_000_000_000 + this.time) as WallTime;
  }

  after(d: number, run: () => void): () => void {
    const timer = { at: this.time + Math.max(0, d), order: this.order++, run };
    this.timers.push(timer);
    return () => {
      this.timers = this.timers.filter((t) => t !== timer);
    };
  }

  async advance(ms: number): Promise<void> {
    const until = this.time + ms;
    for (;;) {
      await settle();
      const next = this.timers.reduce<Timer | null>(
        (best, t) => (!best || t.at < best.at || (t.at === best.at && t.order < best.order) ? t : best),
        null,
      );
      if (!next || next.at > until) break;
      this.timers = this.timers.filter((t) => t !== next);
      this.time = next.at;
      next.run();
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
