import type { JobSpec } from '../model/job.js';
import type { Need } from './plan.js';

export interface QueuedWork {
  readonly spec: JobSpec;
  readonly tasks: number;
  readonly runMs: number;
  /** How long its last task may still wait after a boot; null: no target is left then. */
  readonly slackMs: number | null;
  /** How much longer than that it may wait (`Patience`). */
  readonly patience: number;
}

/** Work without a target left is still worked off within this. */
const NO_TARGET_MS = 90_000;
/** Tasks of odd sizes leave gaps, and some work is lost and done again. */
const PACKED = 0.8;
/** Renting cannot help sooner. */
const LEAST_MS = 5000;

/**
 * The part of the queue that the present fleet would not start in time. `cpus` work the queue off
 * one job after the other, behind `busyCpuMs` of work that is already running: the expected frees
 * of the design, counted until each job's own limit instead of one slot.
 */
export function lateNeeds(queue: readonly QueuedWork[], cpus: number, busyCpuMs: number): Need[] {
  const needs: Need[] = [];
  let ahead = busyCpuMs;
  let rate = cpus * PACKED;
  for (const job of queue) {
    const size = Math.max(0.01, job.spec.cpus);
    ahead += job.tasks * job.runMs * size;
    // Its last wave starts one run before the work ahead of it is done.
    const ready = Math.max(LEAST_MS, job.slackMs ?? NO_TARGET_MS) + job.runMs;
    const patience = ready * job.patience;
    const deficit = ahead / patience - rate;
    if (deficit <= 0) continue;
    const tasks = Math.min(job.tasks, Math.ceil(deficit / size));
    needs.push({ spec: job.spec, tasks });
    rate += tasks * size;
  }
  return needs;
}
