/** Builds the snapshot of jobs and machines from which placement decides. */
import type { MonotonicTime } from '../model/time.js';
import type { ActiveJob } from '../scheduler/active-job.js';
import type { ConfirmedFacts } from '../model/machine-facts.js';
import { hasZoneConstraint } from '../scheduler/placement-rule.js';
import type { JobView, MachineView, Victim } from '../scheduler/snapshot.js';
import type { Worker } from '../workers/state/worker.js';

/** The urgency of a waiting job. */
interface JobUrgency {
  readonly waitedMs: number;
  /** Time that the job may still wait, in milliseconds; null if the job has no target that can still be met. */
  readonly slackMs: number | null;
  readonly isStarving: boolean;
}

/** Returns the placement view of a job. */
export function jobView(
  job: ActiveJob,
  now: MonotonicTime,
  { waitedMs, slackMs, isStarving }: JobUrgency,
): JobView {
  const isZoneBound = hasZoneConstraint(job.spec);
  // A task on a machine with a known ID but unknown facts may be in any zone, so a job with a zone constraint is
  // deferred.
  const hasUnknownZone = isZoneBound && job.zoneTally.unknownZoneCount > 0;
  return {
    spec: job.effectiveSpec,
    readyAt: job.readyAt,
    waitedMs,
    waitingCount: job.waitingCount,
    zones: new Map(isZoneBound ? job.zoneTally.counts : []),
    avoidedMachines: job.failures.avoidedMachines(now),
    failedMachines: job.failures.failedMachines,
    failureCount: job.failures.failureCount,
    slackMs,
    isStarving,
    isDeferred: hasUnknownZone || job.failures.isBackingOff(now),
  };
}

/** Returns the preemptible tasks of a worker, sorted by priority and then by the amount of lost work. */
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
  return victims.sort((left, right) => left.priority - right.priority || left.lostMs - right.lostMs);
}

/**
 * Returns the placement view of a machine with confirmed facts; free capacity is copied because placement changes it.
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
