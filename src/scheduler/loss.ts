import type { Millis } from '../model/time.js';

const HOUR_MS = 3_600_000;
/** Before anything was seen: one machine lost in so many hours. */
const PRIOR_HOURS = 4;
/** Expected lost tasks of a job from which on it matters where they run. */
const MATTERS = 0.5;

/** How often spot machines are taken, as seen here. */
export class SpotLoss {
  private lost = 1;
  private hours = PRIOR_HOURS;

  /** So many spot machines were up for so long. */
  ran(machines: number, time: Millis): void {
    this.hours += (machines * time) / HOUR_MS;
  }

  taken(): void {
    this.lost++;
  }

  /**
   * Whether a job is better kept off spot machines: some of its tasks will probably be lost there,
   * and its target leaves no time to do them again.
   */
  avoid(tasks: number, runMs: number, slackMs: number | null): boolean {
    if (slackMs === null || slackMs > runMs) return false;
    const share = 1 - Math.exp((-this.lost / this.hours) * (runMs / HOUR_MS));
    return tasks * share >= MATTERS;
  }
}
