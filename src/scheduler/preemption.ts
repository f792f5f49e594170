/** Selects the placed tasks that may be preempted for a job, and computes the cost of preempting them. */
import type { JobId } from '../model/ids.js';
import { fits, release, type JobSpec, Priority } from '../model/job.js';
import type { JobView, MachineView, Victim } from './snapshot.js';

/**
 * The time that a preempted task loses on top of its unsaved work: its restart, usually on a machine that has its
 * image.
 */
const RESTART_COST_MS = 3000;
/**
 * Multiplies the cost of preempting a task of high priority. Such a task is usually part of a pipeline stage for which
 * other jobs wait, so that its restart delays all of them.
 */
const URGENT_COST_FACTOR = 8;

/** Returns the cost of preempting a task, in lost CPU milliseconds times `URGENT_COST_FACTOR` for high priority. */
function preemptionCost(victim: Victim): number {
  const factor = victim.priority >= Priority.High ? URGENT_COST_FACTOR : 1;
  return (victim.lostMs + RESTART_COST_MS) * victim.cpus * factor;
}

/**
 * Delays preemption for a job within its team's guaranteed quota, so that the job can first use capacity that ending
 * tasks free: thousands of tasks end per minute on a full fleet, and each preempted task loses its work.
 */
const GUARANTEE_PREEMPTION_DELAY_MS = 1000;

/** Returns whether a task may be preempted. */
export type PreemptionFilter = (victim: Victim) => boolean;

/**
 * Returns a filter for the tasks that may be preempted for a job (PROTOCOL, "Preemption"): for production work, tasks
 * of lower priorities; for a job within its team's guaranteed quota that has waited `GUARANTEE_PREEMPTION_DELAY_MS`,
 * tasks below production priority that other teams run beyond their quota. Null: no task may be preempted.
 */
export function preemptionFilter(job: JobView, guaranteed: ReadonlySet<JobId>): PreemptionFilter | null {
  const { spec } = job;
  const isProduction = spec.priority === Priority.Production;
  const isGuaranteed = guaranteed.has(spec.id) && job.waitedMs >= GUARANTEE_PREEMPTION_DELAY_MS;
  if (!isProduction && !isGuaranteed) return null;
  return (victim) =>
    (isProduction && victim.priority < spec.priority) ||
    (isGuaranteed &&
      victim.team !== spec.team &&
      victim.priority < Priority.Production &&
      !guaranteed.has(victim.job));
}

/** A set of tasks on one machine whose preemption makes room for one task of a job. */
export interface PreemptionOption {
  readonly machine: MachineView;
  /** The machine's tasks that are candidates for preemption; the job's `PreemptionFilter` may exclude some of them. */
  readonly candidates: Victim[];
  /** The tasks to be preempted. */
  readonly victims: readonly Victim[];
  readonly cost: number;
}

/**
 * Selects victims in the given order until the task fits; null: the task does not fit even if all permitted candidates
 * are preempted.
 */
export function preemptionOption(
  spec: JobSpec,
  machine: MachineView,
  candidates: Victim[],
  canPreempt: PreemptionFilter,
): PreemptionOption | null {
  const free = { ...machine.free };
  const victims: Victim[] = [];
  for (const victim of candidates) {
    if (fits(spec, free)) break;
    if (!canPreempt(victim)) continue;
    release(free, victim);
    victims.push(victim);
  }
  if (!fits(spec, free)) return null;
  const cost = victims.reduce((sum, victim) => sum + preemptionCost(victim), 0);
  return { machine, candidates, victims, cost };
}
