/** What a new leader makes of what the earlier one left: jobs, machines, and which task may be where. */
import type { FleetManager } from '../fleet/manager.js';
import { reason } from '../log/logger.js';
import type { HostId, Revision } from '../model/ids.js';
import { Priority } from '../model/job.js';
import type { Machine } from '../model/machine.js';
import { sleep } from '../model/time.js';
import type { Task } from '../scheduler/task.js';
import type { Host } from '../workers/host.js';
import type { Answering } from './answering.js';
import type { LeaderContext } from './context.js';
import type { FleetRecord } from './fleet-record.js';
import type { JobIntake } from './job-watcher.js';
import { type LoadedJobs, loadOpenJobs, type RestoredFleet, restoreFleet } from './takeover.js';

/** A takeover that could not read the records tries again after this. */
const AGAIN_MS = 200;

/** Reads the records until it has them all, or the leadership is over. */
export class StateRestorer {
  constructor(
    private readonly ctx: LeaderContext,
    private readonly fleet: FleetManager,
    private readonly record: FleetRecord,
    private readonly intake: JobIntake,
    private readonly answering: Answering,
  ) {}

  /** The revision from which changes are to be followed; null: the leadership is over. */
  async run(): Promise<Revision | null> {
    while (!this.ctx.ended()) {
      const began = this.ctx.clock.now();
      try {
        const jobs = await loadOpenJobs(this.ctx);
        this.restore(jobs, await restoreFleet(this.ctx, this.fleet));
        this.answering.knew(began);
        return jobs.revision;
      } catch (error) {
        this.ctx.log.info({ error: reason(error) }, 'takeover waits for the state service');
        await sleep(this.ctx.clock, AGAIN_MS);
      }
    }
    return null;
  }

  /** Whom a new leader meets first: machines with production work, then those with room. */
  inOrderOfNeed(): Host[] {
    const need = (host: Host): number => {
      for (const task of host.tasks) if (task.job.spec.priority === Priority.Production) return 0;
      return host.free.cpus > 0 ? 1 : 2;
    };
    return [...this.ctx.hosts.values()]
      .filter((host) => host.up || !host.empty)
      .map((host) => ({ host, need: need(host) }))
      .sort((a, b) => a.need - b.need)
      .map(({ host }) => host);
  }

  private restore(loaded: LoadedJobs, fleet: RestoredFleet): void {
    for (const job of loaded.jobs) this.intake.open(job);
    this.record.found(fleet.records);
    for (const { machine, address, at, up } of fleet.machines) {
      const host = this.fleet.adopt(machine, at, address);
      if (host && up) host.up = true;
    }
    this.attachHeld();
    this.intake.dropOver(loaded);
  }

  /** Every task that may be on a machine holds its place there, known machine or not. */
  private attachHeld(): void {
    for (const job of this.ctx.jobs.values()) {
      for (const task of job.held()) {
        const host = task.host === null ? undefined : this.ctx.hosts.get(task.host);
        if (host) {
          task.zone = host.machine.zone;
          host.put(task);
        } else if (task.host !== null) this.adoptUnknown(task, task.host);
      }
    }
  }

  /** A task's host is in no list yet: it is fenced like a silent one unless it is heard. */
  private adoptUnknown(task: Task, id: HostId): void {
    const type = this.ctx.types.values().next().value;
    if (!type) return;
    const machine: Machine = { id, type: type.id, zone: this.ctx.settings.zone, spot: true };
    const host = this.fleet.adopt(machine, this.ctx.startedAt, '', true);
    host?.put(task);
  }
}
