/** Spreads work that arrives in bursts over turns of the event loop. */

/** How many callers one turn of the event loop admits. */
const ADMITTED_PER_TURN = 8;

/**
 * Admits callers in the order of their arrival, a few in each turn of the event loop. Between two turns timers and
 * responses are handled: with hundreds of heartbeats read at once from one socket, a leader on a tenth of a core
 * noticed the response to its lease renewal a second late, and lost the lease.
 */
export class YieldingWorkQueue {
  private readonly waiters: (() => void)[] = [];
  private nextWaiter = 0;
  private isScheduled = false;

  constructor(
    private readonly defer: (run: () => void) => void = (run) => void setImmediate(run),
    private readonly admittedPerTurn = ADMITTED_PER_TURN,
  ) {}

  /** Resolves when it is the caller's turn. */
  turn(): Promise<void> {
    return new Promise((resolve) => {
      this.waiters.push(resolve);
      this.schedule();
    });
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    this.defer(() => this.admit());
  }

  private admit(): void {
    this.isScheduled = false;
    const end = Math.min(this.waiters.length, this.nextWaiter + this.admittedPerTurn);
    for (; this.nextWaiter < end; this.nextWaiter++) this.waiters[this.nextWaiter]?.();
    if (this.nextWaiter < this.waiters.length) {
      this.schedule();
      return;
    }
    this.waiters.length = 0;
    this.nextWaiter = 0;
  }
}
