/** Builds the snapshot that placement decides over. */
import type { MonotonicTime } from '../model/time.js';
import type { ActiveJob } from '../scheduler/active-job.js';
import type { ConfirmedFacts } from '../model/machine-facts.js';
import { hasZoneConstraint } from '../scheduler/placement-rule.js';
import type { JobView, MachineView, Victim } from '../scheduler/snapshot.js';
import type { Worker } from '../workers/state/worker.js';

/** How urgent a waiting job is. */
interface JobUrgency {
  readonly waitedMs: number;
  /** How long it may still wait; null: no objective is left. */
  readonly slackMs: number | null;
  readonly isStarving: boolean;
}

/** Returns a job as placement sees it. */
export function jobView(
  job: ActiveJob,
  now: MonotonicTime,
  { waitedMs, slackMs, isStarving }: JobUrgency,
): JobView {
  const isZoneBound = hasZoneConstraint(job.spec);
  // A task on a machine of which only the id is known may be in any zone: the job waits.
  const hasUnknownZone = isZoneBound && job.zoneTally.unknownZoneCount > 0;
  return {
    spec: job.effectiveSpec,
    readyAt: job.readyAt,
    waitedMs,
    waitingCount: job.waitingCount,
    zones: new Map(isZoneBound ? job.zoneTally.counts : []),
    avoidedMachines: job.failures.avoidedMachines,
    slackMs,
    isStarving,
    isHeldBack: hasUnknownZone || job.failures.isBackingOff(now),
  };
}

/** Returns the tasks that could be preempted on a worker, those that lose the least work first. */
export function victimsOn(worker: Worker, now: MonotonicTime): Victim[] {
  const victims: Victim[] = [];
  for (const task of worker.tasks) {
    if (task.phase !== 'placed' || task.pendingStop || task.observedState === 'saving') continue;
    const { cpus, gpus, memoryGb, priority, team, checkpointIntervalS } = task.job.effectiveSpec;
    const ranMs = task.runningAt === null ? 0 : now - task.runningAt;
    const lostMs = checkpointIntervalS > 0 ? Math.min(ranMs, checkpointIntervalS * 1000) : ranMs;
    const job = task.job.spec.id;
    victims.push({ task: task.id, job, team, priority, cpus, gpus, memoryGb, lostMs });
  }
  return victims.sort((one, other) => one.priority - other.priority || one.lostMs - other.lostMs);
}

/**
 * Returns a machine as placement sees it, by its confirmed facts. Its free capacity is a copy: placement allocates from
 * it.
 */
export function machineView(worker: Worker, { machine, type }: ConfirmedFacts): MachineView {
  return {
    id: worker.id,
    type: machine.type,
    zone: machine.zone,
    spot: machine.spot,
    cpus: type.cpus,
    free: { ...worker.free },
    images: worker.images,
    isReachable: !worker.contact.hasFailedCall,
  };
}
