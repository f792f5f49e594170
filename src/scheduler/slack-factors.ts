const START = 1.5;
const LEAST = 0.8;
const MOST = 4;
const NEWEST = 0.15;

/**
 * How much longer than its reckoned slack a class's work may wait before ordinary machines are
 * rented for it. Learned from how often its jobs come too late: a site whose spot machines catch up
 * pays for hardly any others, one that falls behind rents early.
 */
export class SlackFactors {
  /** The share of each class that has lately come too late. */
  private readonly missed = new Map<string, number>();

  /** One job is over; `allowed` is the share of its class that may miss the target. */
  recordCompletion(jobClass: string, missed: boolean, allowed: number): void {
    const before = this.missed.get(jobClass) ?? allowed;
    this.missed.set(jobClass, before + NEWEST * ((missed ? 1 : 0) - before));
  }

  factor(jobClass: string, allowed: number): number {
    const missed = this.missed.get(jobClass) ?? allowed;
    return Math.min(MOST, Math.max(LEAST, START * Math.sqrt(allowed / Math.max(0.005, missed))));
  }

  record(): Record<string, number> {
    return Object.fromEntries([...this.missed].map(([k, m]) => [k, Math.round(m * 1000) / 1000]));
  }

  restore(stored: unknown): void {
    for (const [jobClass, missed] of Object.entries((stored ?? {}) as Record<string, unknown>)) {
      if (typeof missed === 'number') this.missed.set(jobClass, missed);
    }
  }
}
