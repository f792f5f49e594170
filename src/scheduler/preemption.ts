/** Which running tasks may be stopped to make room, and what that loses. */
import type { JobId } from '../model/ids.js';
import { fits, release, type JobSpec, Priority } from '../model/job.js';
import type { JobView, MachineView, Victim } from './snapshot.js';

/** What a stopped task loses besides its work: its next start, mostly with its image. */
const RESTART_MS = 3000;
/**
 * Urgent work is mostly a stage of something that others wait for: one task that starts again delays all of
 * it. Its loss counts so many times.
 */
const URGENT_LOSS = 8;

function lossOf(victim: Victim): number {
  const weight = victim.priority >= Priority.High ? URGENT_LOSS : 1;
  return (victim.lostMs + RESTART_MS) * victim.cpus * weight;
}

/**
 * A job within its team's guarantee first waits this long for room that comes free by itself: on a full fleet
 * that is thousands of tasks a minute, and each one that is stopped loses its work.
 */
const GUARANTEE_AFTER_MS = 1000;

/**
 * Who may be stopped for a job (PROTOCOL, "Preemption"): lower priorities for production work;
 * for a team's guarantee, what other teams run beyond theirs.
 */
export function mayStop(job: JobView, guaranteed: ReadonlySet<JobId>): ((v: Victim) => boolean) | null {
  const { spec } = job;
  const production = spec.priority === Priority.Production;
  const within = guaranteed.has(spec.id) && job.waitedMs >= GUARANTEE_AFTER_MS;
  if (!production && !within) return null;
  return (v) =>
    (production && v.priority < spec.priority) ||
    (within && v.team !== spec.team && v.priority < Priority.Production && !guaranteed.has(v.job));
}

/** Room that could be made on one machine. */
export interface Offer {
  readonly m: MachineView;
  /** What could be stopped there, and the part of it that would be. */
  readonly from: Victim[];
  readonly victims: readonly Victim[];
  /** Work that making this room would lose. */
  readonly lost: number;
}

/** Fewest-loss victims whose stopping lets the task fit; null: not even all of them would do. */
export function offerOf(
  spec: JobSpec,
  m: MachineView,
  from: Victim[],
  may: (v: Victim) => boolean,
): Offer | null {
  const free = { ...m.free };
  const victims: Victim[] = [];
  for (const v of from) {
    if (fits(spec, free)) break;
    if (!may(v)) continue;
    release(free, v);
    victims.push(v);
  }
  if (!fits(spec, free)) return null;
  return { m, from, victims, lost: victims.reduce((sum, victim) => sum + lossOf(victim), 0) };
}
