/** Spreads work that comes in a crowd over turns of the event loop. */

/** How many pieces of work one turn takes. */
const PER_TURN = 8;

/**
 * Work waits here for its turn, a few pieces a turn, in the order in which it came. Between two turns timers and
 * answers have theirs: with hundreds of reports read at once from one socket, a leader on a tenth of a core
 * noticed the answer to its grant's renewal a second late, and lost the grant.
 */
export class YieldingWorkQueue {
  private readonly waiting: (() => void)[] = [];
  private next = 0;
  private scheduled = false;

  constructor(
    private readonly defer: (run: () => void) => void = (run) => void setImmediate(run),
    private readonly perTurn = PER_TURN,
  ) {}

  /** Resolves when it is the caller's turn. */
  turn(): Promise<void> {
    return new Promise((resolve) => {
      this.waiting.push(resolve);
      this.schedule();
    });
  }

  private schedule(): void {
    if (this.scheduled) return;
    this.scheduled = true;
    this.defer(() => this.take());
  }

  private take(): void {
    this.scheduled = false;
    const until = Math.min(this.waiting.length, this.next + this.perTurn);
    for (; this.next < until; this.next++) this.waiting[this.next]?.();
    if (this.next < this.waiting.length) {
      this.schedule();
      return;
    }
    this.waiting.length = 0;
    this.next = 0;
  }
}
