/** Which running tasks may be preempted for a job, and what that costs. */
import type { JobId } from '../model/ids.js';
import { fits, release, type JobSpec, Priority } from '../model/job.js';
import type { JobView, MachineView, Victim } from './snapshot.js';

/** What a preempted task loses besides its work: its next start, mostly with its image. */
const RESTART_MS = 3000;
/**
 * Urgent work is mostly a stage of something that others wait for: one task that starts again delays all of
 * it. Its cost counts so many times.
 */
const URGENT_COST_FACTOR = 8;

/** The cost of preempting a task, in lost CPU milliseconds. */
function preemptionCost(victim: Victim): number {
  const factor = victim.priority >= Priority.High ? URGENT_COST_FACTOR : 1;
  return (victim.lostMs + RESTART_MS) * victim.cpus * factor;
}

/**
 * A job within its team's guaranteed quota first waits this long for capacity that becomes free by itself: on a full
 * fleet that is thousands of tasks a minute, and each one that is preempted loses its work.
 */
const GUARANTEE_PREEMPTION_DELAY_MS = 1000;

/** Whether a task may be preempted. */
export type PreemptionFilter = (victim: Victim) => boolean;

/**
 * Which tasks may be preempted for a job (PROTOCOL, "Preemption"): for production work those of lower priorities; for
 * a team's guaranteed quota, what other teams run beyond theirs. Null: none at all.
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

/** A way to make one task fit on a machine by preempting others there. */
export interface PreemptionOption {
  readonly machine: MachineView;
  /** The machine's tasks that could be preempted, for a job that the rules allow it to. */
  readonly candidates: Victim[];
  /** Those that would be. */
  readonly victims: readonly Victim[];
  readonly cost: number;
}

/** Takes victims in the order given until the task fits; null: not even all of them would do. */
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
