import type { MachineId } from '../model/ids.js';
import type { MonotonicTime } from '../model/time.js';
import type { ActiveJob } from '../scheduler/active-job.js';
import type { ConfirmedFacts } from '../model/machine-facts.js';
import { bindsZones } from '../scheduler/placement-rule.js';
import type { JobView, MachineView, Victim } from '../scheduler/snapshot.js';
import type { Worker } from '../workers/state/worker.js';

const NO_MACHINES: ReadonlySet<MachineId> = new Set();

/** A job as placement sees it. */
export function jobView(
  job: ActiveJob,
  now: MonotonicTime,
  waitedMs: number,
  slackMs: number | null,
  starving: boolean,
): JobView {
  const binds = bindsZones(job.spec);
  // A task on a machine that only its record names may be in any zone: the job waits.
  const unknownZone = binds && job.zoneTally.unknown > 0;
  return {
    spec: job.effectiveSpec,
    readyAt: job.readyAt,
    waitedMs,
    waitingCount: job.waitingCount,
    zones: new Map(binds ? job.zoneTally.counts : []),
    avoidedMachines: job.failedMachines.size < 3 ? job.failedMachines : NO_MACHINES,
    slackMs,
    isStarving: starving,
    isHeldBack: unknownZone || (job.backoffUntil !== null && job.backoffUntil > now),
  };
}

/** Who could be stopped on a machine, cheapest loss first. */
export function victims(worker: Worker, now: MonotonicTime): Victim[] {
  const list: Victim[] = [];
  for (const task of worker.tasks) {
    if (task.phase !== 'placed' || task.pendingStop || task.observedState === 'saving') continue;
    const { cpus, gpus, memoryGb, priority, team, checkpointIntervalS } = task.job.effectiveSpec;
    const ran = task.runningAt === null ? 0 : now - task.runningAt;
    const lostMs = checkpointIntervalS > 0 ? Math.min(ran, checkpointIntervalS * 1000) : ran;
    const job = task.job.spec.id;
    list.push({ task: task.id, job, team, priority, cpus, gpus, memoryGb, lostMs });
  }
  return list.sort((a, b) => a.priority - b.priority || a.lostMs - b.lostMs);
}

/** A machine as placement sees it, by what is confirmed of it: its room is a copy, to be handed out. */
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
