import type { HostId } from '../model/ids.js';
import type { Steady } from '../model/time.js';
import type { OpenJob } from '../scheduler/active-job.js';
import type { ConfirmedFacts } from '../model/machine-facts.js';
import { bindsZones } from '../scheduler/placement-rule.js';
import type { JobView, MachineView, Victim } from '../scheduler/snapshot.js';
import type { Host } from '../workers/state/worker.js';

const NO_HOSTS: ReadonlySet<HostId> = new Set();

/** A job as placement sees it. */
export function jobView(
  job: OpenJob,
  now: Steady,
  waitedMs: number,
  slackMs: number | null,
  starving: boolean,
): JobView {
  const binds = bindsZones(job.spec);
  // A task on a machine that only its record names may be in any zone: the job waits.
  const unknownZone = binds && job.zones.unknown > 0;
  return {
    spec: job.ranked,
    readyAt: job.readyAt,
    waitedMs,
    waiting: job.waiting,
    zones: new Map(binds ? job.zones.counts : []),
    avoid: job.failedOn.size < 3 ? job.failedOn : NO_HOSTS,
    slackMs,
    starving,
    heldBack: unknownZone || (job.notBefore !== null && job.notBefore > now),
  };
}

/** Who could be stopped on a machine, cheapest loss first. */
export function victims(host: Host, now: Steady): Victim[] {
  const list: Victim[] = [];
  for (const task of host.tasks) {
    if (task.phase !== 'placed' || task.kill || task.shown === 'saving') continue;
    const { cpus, gpus, memoryGb, priority, team, checkpointS } = task.job.ranked;
    const ran = task.runningAt === null ? 0 : now - task.runningAt;
    const lostMs = checkpointS > 0 ? Math.min(ran, checkpointS * 1000) : ran;
    const job = task.job.spec.id;
    list.push({ task: task.id, job, team, priority, cpus, gpus, memoryGb, lostMs });
  }
  return list.sort((a, b) => a.priority - b.priority || a.lostMs - b.lostMs);
}

/** A machine as placement sees it, by what is confirmed of it: its room is a copy, to be handed out. */
export function machineView(host: Host, { machine, type }: ConfirmedFacts): MachineView {
  return {
    id: host.id,
    type: machine.type,
    zone: machine.zone,
    spot: machine.spot,
    cpus: type.cpus,
    free: { ...host.free },
    images: host.images,
    reachable: host.unreachable === 0,
  };
}
