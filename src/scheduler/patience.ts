/** A class's allowance is what its objective lets be late; half of it is aimed at. */
interface Seen {
  missed: number;
}

const START = 1.4;
const LEAST = 0.7;
const MOST = 2.5;
const NEWEST = 0.15;

/**
 * How much longer than its reckoned slack a class's work may wait before ordinary machines are
 * rented for it. Learned from how often its jobs come too late: a site whose spot machines catch up
 * pays for hardly any others, one that falls behind rents early.
 */
export class Patience {
  private readonly seen = new Map<string, Seen>();

  /** One job is over; `allowed` is the share of its class that may miss the target. */
  over(jobClass: string, missed: boolean, allowed: number): void {
    const seen = this.seen.get(jobClass) ?? { missed: allowed };
    seen.missed += NEWEST * ((missed ? 1 : 0) - seen.missed);
    this.seen.set(jobClass, seen);
  }

  factor(jobClass: string, allowed: number): number {
    const missed = this.seen.get(jobClass)?.missed ?? allowed;
    return Math.min(MOST, Math.max(LEAST, START * Math.sqrt(allowed / Math.max(0.005, missed))));
  }

  record(): Record<string, number> {
    return Object.fromEntries([...this.seen].map(([k, s]) => [k, Math.round(s.missed * 1000) / 1000]));
  }

  restore(stored: unknown): void {
    for (const [jobClass, missed] of Object.entries((stored ?? {}) as Record<string, unknown>)) {
      if (typeof missed === 'number') this.seen.set(jobClass, { missed });
    }
  }
}
