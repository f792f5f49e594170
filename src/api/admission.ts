import { type Clock, type MonotonicTime, since } from '../model/time.js';

const TURN_MS = 100;
/** A loop that runs this late is overloaded: reports and decisions go before submissions. */
const LATE_MS = 1500;

/** What a request asks for: submissions give way to questions when the node is busy. */
export type Rank = 'submission' | 'query';

/** Bounds what is being worked on. What does not fit is answered at once, never queued. */
export class Admission {
  private readonly inside: Record<Rank, number> = { submission: 0, query: 0 };
  private lateness = 0;
  private expected: MonotonicTime;

  constructor(
    private readonly clock: Clock,
    private readonly most: Readonly<Record<Rank, number>>,
    /** Whether the process has no memory left for new work. */
    private readonly memoryScarce: () => boolean = () => false,
  ) {
    this.expected = clock.now();
    this.turn();
  }

  private turn(): void {
    this.expected = (this.clock.now() + TURN_MS) as MonotonicTime;
    this.clock.after(TURN_MS, () => {
      const late = Math.max(0, since(this.clock.now(), this.expected));
      this.lateness = Math.max(late, this.lateness * 0.8);
      this.turn();
    });
  }

  enter(rank: Rank): boolean {
    if (this.inside[rank] >= this.most[rank]) return false;
    if (rank === 'submission' && (this.lateness > LATE_MS || this.memoryScarce())) return false;
    this.inside[rank]++;
    return true;
  }

  leave(rank: Rank): void {
    this.inside[rank]--;
  }

  get lateMs(): number {
    return Math.round(this.lateness);
  }
}
