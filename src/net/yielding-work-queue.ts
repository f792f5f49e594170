/** Spreads bursts of work over several iterations of the event loop. */

/** The default maximum number of callers that are admitted in one iteration of the event loop. */
const MAX_ADMITTED_PER_TURN = 8;

/**
 * A FIFO queue that admits at most `maxAdmittedPerTurn` callers in each iteration of the event loop, so that timers and
 * responses are handled between them. Without the queue, a leader on a tenth of a core that read hundreds of heartbeats
 * at once from one socket processed the response to its lease renewal a second late, and lost the lease.
 */
export class YieldingWorkQueue {
  private readonly waiters: (() => void)[] = [];
  private nextWaiterIndex = 0;
  private isScheduled = false;

  constructor(
    private readonly defer: (run: () => void) => void = (run) => void setImmediate(run),
    private readonly maxAdmittedPerTurn = MAX_ADMITTED_PER_TURN,
  ) {}

  /** Resolves when the queue admits the caller. */
  awaitTurn(): Promise<void> {
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
    const end = Math.min(this.waiters.length, this.nextWaiterIndex + this.maxAdmittedPerTurn);
    for (; this.nextWaiterIndex < end; this.nextWaiterIndex++) this.waiters[this.nextWaiterIndex]?.();
    if (this.nextWaiterIndex < this.waiters.length) {
      this.schedule();
      return;
    }
    this.waiters.length = 0;
    this.nextWaiterIndex = 0;
  }
}
