import { type MonotonicTime, since } from '../model/time.js';
import type { CapacityDemand } from './capacity-plan.js';

/** Waiting tasks of one job that found no room. */
export interface QueuedWork extends CapacityDemand {
  readonly runMs: number;
  /** How long its last task may still wait after a boot; null: no target is left then. */
  readonly slackMs: number | null;
  /** How much longer than that it may wait (`SlackFactors`). */
  readonly slackFactor: number;
}

/** Work without a target left is still worked off within this. */
const NO_TARGET_MS = 90_000;
/** Tasks of odd sizes leave gaps, and some work is lost and done again. */
const PACKED = 0.8;
/** A queue that is too long for this long is no passing wave. */
const WAVE_MS = 45_000;

/**
 * SlackFactors is for waves, which mostly pass before a machine has booted. While the queue stays too
 * long it runs out: work that will need the machines anyway gets them sooner.
 */
export class BacklogWatch {
  private since: MonotonicTime | null = null;

  left(tooLong: boolean, now: MonotonicTime): number {
    if (!tooLong) this.since = null;
    else this.since ??= now;
    return this.since === null ? 1 : Math.max(0, 1 - since(now, this.since) / WAVE_MS);
  }
}

/** Renting cannot help sooner. */
const LEAST_MS = 5000;

/**
 * The part of the queue that the present fleet would not start in time. `cpus` work the queue off
 * one job after the other, behind `busyCpuMs` of work that is already running: the expected frees
 * of the design, counted until each job's own limit instead of one slot.
 *
 * `slackFactorLeft`: the part that is left of the jobs' slack factors, from 1 to 0.
 */
export function overdueDemand(
  queue: readonly QueuedWork[],
  cpus: number,
  busyCpuMs: number,
  slackFactorLeft = 1,
): CapacityDemand[] {
  const needs: CapacityDemand[] = [];
  let ahead = busyCpuMs;
  let rate = cpus * PACKED;
  for (const job of queue) {
    const size = Math.max(0.01, job.spec.cpus);
    ahead += job.tasks * job.runMs * size;
    // Its last wave starts one run before the work ahead of it is done.
    const ready = Math.max(LEAST_MS, job.slackMs ?? NO_TARGET_MS) + job.runMs;
    const slackFactor = ready * (1 + (job.slackFactor - 1) * slackFactorLeft);
    const deficit = ahead / slackFactor - rate;
    if (deficit <= 0) continue;
    const tasks = Math.min(job.tasks, Math.ceil(deficit / size));
    needs.push({ spec: job.spec, tasks, zones: job.zones });
    rate += tasks * size;
  }
  return needs;
}
