/** Learns per job class how long demand may wait before on-demand machines are rented for it. */

const INITIAL_FACTOR = 1.5;
const MIN_FACTOR = 0.8;
const MAX_FACTOR = 4;
/** The weight of the latest job in the moving average of missed targets. */
const LATEST_WEIGHT = 0.15;
/** Keeps the factor finite for a class that misses no target. */
const MIN_MISS_SHARE = 0.005;

const roundToThousandths = (share: number): number => Math.round(share * 1000) / 1000;

/**
 * How many times its estimated slack a class's work may wait before on-demand machines are rented for it. Learned from
 * how often its jobs miss their service-level objectives: a site whose spot machines catch up pays for hardly any
 * others, one that falls behind rents early.
 */
export class SlackFactors {
  /** The share of each class's jobs that lately missed their target. */
  private readonly missShares = new Map<string, number>();

  /** Learns from a completed job; `allowedMissShare` is the share of its class that may miss the target. */
  recordCompletion(jobClass: string, hasMissed: boolean, allowedMissShare: number): void {
    const previous = this.missShares.get(jobClass) ?? allowedMissShare;
    this.missShares.set(jobClass, previous + LATEST_WEIGHT * ((hasMissed ? 1 : 0) - previous));
  }

  factor(jobClass: string, allowedMissShare: number): number {
    const missShare = this.missShares.get(jobClass) ?? allowedMissShare;
    const factor = INITIAL_FACTOR * Math.sqrt(allowedMissShare / Math.max(MIN_MISS_SHARE, missShare));
    return Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, factor));
  }

  /** The stored record: missed shares by class. */
  record(): Record<string, number> {
    return Object.fromEntries(
      [...this.missShares].map(([jobClass, share]) => [jobClass, roundToThousandths(share)]),
    );
  }

  /** Restores the state from a stored record; whatever else is in it is left out. */
  restore(stored: unknown): void {
    for (const [jobClass, share] of Object.entries((stored ?? {}) as Record<string, unknown>)) {
      if (typeof share === 'number') this.missShares.set(jobClass, share);
    }
  }
}
