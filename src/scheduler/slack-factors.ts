/** Adapts, for each job class, how long demand may wait before on-demand machines are rented for that demand. */

/** The slack factor of a class whose miss ratio equals the allowed miss ratio. */
const INITIAL_SLACK_FACTOR = 1.5;
/** Lower and upper bound of the slack factor. */
const MIN_SLACK_FACTOR = 0.8;
const MAX_SLACK_FACTOR = 4;
/** The weight of the latest job in the exponential moving average of missed targets. */
const LATEST_JOB_WEIGHT = 0.15;
/** Lower bound of the miss ratio, which keeps the slack factor finite for a class that misses no target. */
const MIN_MISS_RATIO = 0.005;

const roundToThousandths = (ratio: number): number => Math.round(ratio * 1000) / 1000;

/**
 * Computes, for each job class, the multiple of its time limit (slack plus run time) that work may take before
 * on-demand machines are rented. The factor depends on how often the class's jobs miss their service-level objectives:
 * a site whose spot machines catch up pays for few on-demand machines, and a site that falls behind rents them early.
 */
export class SlackFactors {
  /** The exponential moving average of the share of jobs that missed their target, by job class. */
  private readonly missRatios = new Map<string, number>();

  /**
   * Records whether a completed job missed its target. `allowedMissRatio` is the share of its class's jobs that may
   * miss the target.
   */
  recordCompletion(jobClass: string, hasMissed: boolean, allowedMissRatio: number): void {
    const previous = this.missRatios.get(jobClass) ?? allowedMissRatio;
    this.missRatios.set(jobClass, previous + LATEST_JOB_WEIGHT * ((hasMissed ? 1 : 0) - previous));
  }

  factor(jobClass: string, allowedMissRatio: number): number {
    const missRatio = this.missRatios.get(jobClass) ?? allowedMissRatio;
    const factor = INITIAL_SLACK_FACTOR * Math.sqrt(allowedMissRatio / Math.max(MIN_MISS_RATIO, missRatio));
    return Math.min(MAX_SLACK_FACTOR, Math.max(MIN_SLACK_FACTOR, factor));
  }

  /** Returns the record to be stored: the miss ratio of each class, rounded to thousandths. */
  record(): Record<string, number> {
    return Object.fromEntries(
      [...this.missRatios].map(([jobClass, ratio]) => [jobClass, roundToThousandths(ratio)]),
    );
  }

  /** Restores the miss ratios from a stored record. Entries that are not numbers are ignored. */
  restore(stored: unknown): void {
    for (const [jobClass, ratio] of Object.entries((stored ?? {}) as Record<string, unknown>)) {
      if (typeof ratio === 'number') this.missRatios.set(jobClass, ratio);
    }
  }
}
