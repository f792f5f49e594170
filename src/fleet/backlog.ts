/** The queue of waiting tasks, and the part of it that the present fleet would start too late. */
import { type MonotonicTime, since } from '../model/time.js';
import type { CapacityDemand } from './capacity-plan.js';

/** Waiting tasks of one job for which no capacity is free. */
export interface QueuedWork extends CapacityDemand {
  readonly runMs: number;
  /** How long its last task may still wait after a boot; null: no target is left then. */
  readonly slackMs: number | null;
  /** How many times as long as that it may wait (`SlackFactors`). */
  readonly slackFactor: number;
}

/** Work without a target left is still worked off within this. */
const NO_TARGET_MS = 90_000;
/** Tasks of odd sizes leave gaps, and some work is lost and done again: this part of the CPUs can be counted on. */
const PACKING_EFFICIENCY = 0.8;
/** A queue that is too long for this long is no passing wave. */
const WAVE_MS = 45_000;

/**
 * Reduces the jobs' slack factors to nothing while the queue stays too long. They are for waves, which mostly
 * pass before a machine has booted: work that will need the machines anyway gets them sooner.
 */
export class SlackFactorDecay {
  private overdueSince: MonotonicTime | null = null;

  /** Returns the part that is left of the slack factors, from 1 to 0. */
  update(isOverdue: boolean, now: MonotonicTime): number {
    if (!isOverdue) {
      this.overdueSince = null;
      return 1;
    }
    this.overdueSince ??= now;
    return Math.max(0, 1 - since(now, this.overdueSince) / WAVE_MS);
  }
}

/** No machine that is requested now helps sooner. */
const MIN_SLACK_MS = 5000;
const MIN_TASK_CPUS = 0.01;

/**
 * Returns the part of the queue that the present fleet would not start in time. `cpus` work the queue off
 * one job after the other, behind `busyCpuMs` of work that is already running: the expected releases
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
  const overdue: CapacityDemand[] = [];
  let cpuMsAhead = busyCpuMs;
  let usableCpus = cpus * PACKING_EFFICIENCY;
  for (const job of queue) {
    const taskCpus = Math.max(MIN_TASK_CPUS, job.spec.cpus);
    cpuMsAhead += job.tasks * job.runMs * taskCpus;
    // Its last wave starts one run before the work ahead of it is done.
    const deadlineMs = Math.max(MIN_SLACK_MS, job.slackMs ?? NO_TARGET_MS) + job.runMs;
    const allowedMs = deadlineMs * (1 + (job.slackFactor - 1) * slackFactorLeft);
    const missingCpus = cpuMsAhead / allowedMs - usableCpus;
    if (missingCpus <= 0) continue;
    const tasks = Math.min(job.tasks, Math.ceil(missingCpus / taskCpus));
    overdue.push({ spec: job.spec, tasks, zones: job.zones });
    usableCpus += tasks * taskCpus;
  }
  return overdue;
}
