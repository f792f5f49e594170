/** What a new leader makes of what the earlier one left: jobs, machines, and which task may be where. */
import type { FleetManager } from '../fleet/fleet-manager.js';
import { errorMessage } from '../log/logger.js';
import type { Revision } from '../model/ids.js';
import { Priority } from '../model/job.js';
import { FactSource } from '../model/machine-facts.js';
import { type MonotonicTime, since, sleep } from '../model/time.js';
import type { Worker } from '../workers/state/worker.js';
import type { WorkerLeasePolicy } from '../leader/worker-lease-policy.js';
import type { LeaderContext } from '../core/context.js';
import type { FleetRecordWriter } from '../leader/fleet-record-writer.js';
import type { JobIntake } from '../leader/job-watcher.js';
import { type LoadedJobs, loadOpenJobs, type RestoredFleet, restoreFleet } from './record-loader.js';

/** A takeover that could not read the records tries again after this. */
const AGAIN_MS = 200;

/** Reads the records until it has them all, or the leadership is over. */
export class StateRestorer {
  constructor(
    private readonly ctx: LeaderContext,
    private readonly fleet: FleetManager,
    private readonly record: FleetRecordWriter,
    private readonly intake: JobIntake,
    private readonly workerLeasePolicy: WorkerLeasePolicy,
  ) {}

  /** The revision from which changes are to be followed; null: the leadership is over. */
  async run(): Promise<Revision | null> {
    while (!this.ctx.isEnded()) {
      const began = this.ctx.clock.now();
      try {
        const jobs = await loadOpenJobs(this.ctx);
        this.restore(jobs, await restoreFleet(this.ctx, this.fleet));
        this.workerLeasePolicy.observedCancellationsUpTo(began);
        this.tell(jobs, began);
        return jobs.revision;
      } catch (error) {
        this.ctx.log.info({ error: errorMessage(error) }, 'takeover waits for the state service');
        await sleep(this.ctx.clock, AGAIN_MS);
      }
    }
    return null;
  }

  /** What was read, at which revision, and of how many machines placement knows nothing yet. */
  private tell({ jobs, revision }: LoadedJobs, began: MonotonicTime): void {
    const { clock, epoch, workers, log } = this.ctx;
    const machines = { confirmed: 0, unconfirmed: 0, unknown: 0 };
    for (const { facts } of workers.values()) machines[facts.state]++;
    const readMs = Math.round(since(clock.now(), began));
    log.info({ epoch, revision, readMs, jobs: jobs.length, machines }, 'records read');
  }

  /** Whom a new leader meets first: machines with production work, then those with room. */
  inOrderOfNeed(): Worker[] {
    const need = (worker: Worker): number => {
      for (const task of worker.tasks) if (task.job.spec.priority === Priority.Production) return 0;
      return worker.free.cpus > 0 ? 1 : 2;
    };
    return [...this.ctx.workers.values()]
      .filter((worker) => worker.isUp || !worker.isEmpty)
      .map((worker) => ({ worker, need: need(worker) }))
      .sort((a, b) => a.need - b.need)
      .map(({ worker }) => worker);
  }

  private restore(loaded: LoadedJobs, fleet: RestoredFleet): void {
    for (const job of loaded.jobs) this.intake.open(job);
    this.record.found(fleet.records);
    for (const { machine, confirmed, address, at, up } of fleet.machines) {
      const worker = confirmed
        ? this.fleet.registerMachine(machine, FactSource.Record, at, address)
        : this.fleet.registerUnconfirmed(machine, at, address);
      if (worker && up) worker.isUp = true;
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
      for (const task of job.assignedTasks()) {
        if (task.machine === null) continue;
        const worker =
          this.ctx.workers.get(task.machine) ?? this.fleet.registerUnknown(task.machine, this.ctx.startedAt);
        worker?.assign(task);
      }
    }
  }
}
