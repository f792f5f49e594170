/** What a new leader makes of what the earlier one left: jobs, machines, and which task may be where. */
import type { FleetManager } from '../fleet/fleet-manager.js';
import { reason } from '../log/logger.js';
import type { Revision } from '../model/ids.js';
import { Priority } from '../model/job.js';
import { FactSource } from '../model/machine-facts.js';
import { type Steady, since, sleep } from '../model/time.js';
import type { Host } from '../workers/state/worker.js';
import type { Answering } from '../leader/worker-lease-policy.js';
import type { LeaderContext } from '../core/context.js';
import type { FleetRecord } from '../leader/fleet-record-writer.js';
import type { JobIntake } from '../leader/job-watcher.js';
import { type LoadedJobs, loadOpenJobs, type RestoredFleet, restoreFleet } from './record-loader.js';

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
        this.tell(jobs, began);
        return jobs.revision;
      } catch (error) {
        this.ctx.log.info({ error: reason(error) }, 'takeover waits for the state service');
        await sleep(this.ctx.clock, AGAIN_MS);
      }
    }
    return null;
  }

  /** What was read, at which revision, and of how many machines placement knows nothing yet. */
  private tell({ jobs, revision }: LoadedJobs, began: Steady): void {
    const { clock, epoch, hosts, log } = this.ctx;
    const machines = { confirmed: 0, unconfirmed: 0, unknown: 0 };
    for (const { facts } of hosts.values()) machines[facts.state]++;
    const readMs = Math.round(since(clock.now(), began));
    log.info({ epoch, revision, readMs, jobs: jobs.length, machines }, 'records read');
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
    for (const { machine, confirmed, address, at, up } of fleet.machines) {
      const host = confirmed
        ? this.fleet.adopt(machine, FactSource.Record, at, address)
        : this.fleet.adoptUnconfirmed(machine, at, address);
      if (host && up) host.up = true;
    }
    this.attachHeld();
    this.intake.dropOver(loaded);
  }

  /**
   * Every task that may be on a machine holds its place there. One that no record tells of is fenced like a silent one
   * unless it is heard; until somebody tells what it is, nothing is assumed of it.
   */
  private attachHeld(): void {
    for (const job of this.ctx.jobs.values()) {
      for (const task of job.held()) {
        if (task.host === null) continue;
        const host = this.ctx.hosts.get(task.host) ?? this.fleet.adoptUnknown(task.host, this.ctx.startedAt);
        host?.put(task);
      }
    }
  }
}
