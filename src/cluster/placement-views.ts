import type { HostId } from '../model/ids.js';
import type { Steady } from '../model/time.js';
import type { OpenJob } from '../scheduler/open-job.js';
import type { JobView, MachineView, Victim } from '../scheduler/snapshot.js';
import type { Host } from '../workers/host.js';

const NO_HOSTS: ReadonlySet<HostId> = new Set();

/** A job as placement sees it. */
export function jobView(
  job: OpenJob,
  now: Steady,
  waitedMs: number,
  slackMs: number | null,
  starving: boolean,
): JobView {
  const zones: JobView['zones'] = new Map();
  // A task on a machine that only its record knows may be in any zone: the job waits.
  let unknownZone = false;
  if (job.spec.oneZone || job.spec.spread) {
    for (const task of job.held()) {
      if (task.zone === null) unknownZone = true;
      else zones.set(task.zone, (zones.get(task.zone) ?? 0) + 1);
    }
  }
  return {
    spec: job.ranked,
    readyAt: job.readyAt,
    waitedMs,
    waiting: job.waiting,
    zones,
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

/** A machine as placement sees it: its room is a copy, to be handed out. */
export function machineView(host: Host): MachineView {
  return {
    id: host.id,
    type: host.machine.type,
    zone: host.machine.zone,
    spot: host.machine.spot,
    cpus: host.type.cpus,
    free: { ...host.free },
    images: host.images,
    reachable: host.unreachable === 0,
  };
}
