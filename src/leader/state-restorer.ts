/** Restores the state of a new leader from the records: jobs, machines, and which task may be on which machine. */
import type { LeaderContext } from '../core/context.js';
import type { FleetManager } from '../fleet/fleet-manager.js';
import { errorMessage } from '../log/logger.js';
import type { Revision } from '../model/ids.js';
import { Priority } from '../model/job.js';
import { FactSource } from '../model/machine-facts.js';
import { type MonotonicTime, since } from '../model/time.js';
import type { Task } from '../scheduler/task.js';
import type { Worker } from '../workers/state/worker.js';
import type { FleetRecordWriter } from './fleet-record-writer.js';
import type { JobIntake } from './job-intake.js';
import { type LoadedJobs, loadOpenJobs } from './open-job-loader.js';
import { type LoadedFleet, loadFleet } from './record-loader.js';
import { retryUntilTermEnds } from './retry.js';
import type { WorkerLeasePolicy } from './worker-lease-policy.js';

const RESTORE_RETRY_MS = 200;

/** The order in which a new leader contacts the machines. */
const ContactRank = { ProductionWork: 0, FreeCapacity: 1, Full: 2 } as const;

/** The parts of the leader that `StateRestorer` works with. */
interface StateRestorerParts {
  readonly fleet: FleetManager;
  readonly fleetRecordWriter: FleetRecordWriter;
  readonly intake: JobIntake;
  readonly workerLeasePolicy: WorkerLeasePolicy;
}

/** Reads the records until it has them all, or the term is over. */
export class StateRestorer {
  /** Some records cannot be read: tasks may run that nobody counts. */
  hasUnreadableRecords = false;

  constructor(
    private readonly ctx: LeaderContext,
    private readonly parts: StateRestorerParts,
  ) {}

  /** Restores the state; returns the revision from which changes are to be followed, or null: the term is over. */
  run(): Promise<Revision | null> {
    const onFailure = (error: unknown): void =>
      this.ctx.log.info({ error: errorMessage(error) }, 'state restore failed');
    return retryUntilTermEnds(this.ctx, { retryMs: RESTORE_RETRY_MS, onFailure }, () =>
      this.loadAndRestore(),
    );
  }

  private async loadAndRestore(): Promise<Revision> {
    const startedAt = this.ctx.clock.now();
    const jobs = await loadOpenJobs(this.ctx);
    this.restore(jobs, await loadFleet(this.ctx, this.parts.fleet));
    this.parts.workerLeasePolicy.recordCancellationsObservedUpTo(startedAt);
    this.hasUnreadableRecords = jobs.hasUnreadable;
    this.logRestored(jobs, startedAt);
    return jobs.revision;
  }

  /** Logs what was read, at which revision, and of how many machines the facts are not confirmed yet. */
  private logRestored({ jobs, revision }: LoadedJobs, startedAt: MonotonicTime): void {
    const { clock, epoch, workers, log } = this.ctx;
    const machines = { confirmed: 0, unconfirmed: 0, unknown: 0 };
    for (const { facts } of workers.values()) machines[facts.state]++;
    const durationMs = Math.round(since(clock.now(), startedAt));
    log.info({ epoch, revision, durationMs, jobs: jobs.length, machines }, 'state restored');
  }

  /**
   * Returns the workers in the order in which a new leader contacts them: with production work, with free capacity,
   * others.
   */
  workersInContactOrder(): Worker[] {
    return [...this.ctx.workers.values()]
      .filter((worker) => worker.isUp || !worker.isEmpty)
      .map((worker) => ({ worker, rank: contactRank(worker) }))
      .sort((one, other) => one.rank - other.rank)
      .map(({ worker }) => worker);
  }

  private restore(loadedJobs: LoadedJobs, loadedFleet: LoadedFleet): void {
    const { intake, fleetRecordWriter } = this.parts;
    for (const job of loadedJobs.jobs) intake.addOpenJob(job);
    fleetRecordWriter.adoptRecords(loadedFleet.records);
    this.restoreMachines(loadedFleet);
    this.assignPlacedTasks();
    intake.processFinishedJobs(loadedJobs);
  }

  private restoreMachines({ machines }: LoadedFleet): void {
    const { fleet } = this.parts;
    for (const { record, rentedAt } of machines) {
      const { machine, address, isConfirmed, isUp } = record;
      const worker = isConfirmed
        ? fleet.registerMachine(machine, FactSource.Record, rentedAt, address)
        : fleet.registerUnconfirmed(machine, rentedAt, address);
      if (worker && isUp) worker.isUp = true;
    }
  }

  private assignPlacedTasks(): void {
    for (const job of this.ctx.jobs.values()) {
      for (const task of job.assignedTasks()) this.restoreAssignment(task);
    }
  }

  /**
   * A task that an earlier leader placed on a machine keeps its capacity there. A machine that no record names is
   * fenced like an unresponsive one unless it is heard; until its facts are learned, nothing is assumed of it.
   */
  restoreAssignment(task: Task): void {
    const { workers, startedAt, clock } = this.ctx;
    if (task.machine === null) return;
    const worker = workers.get(task.machine) ?? this.parts.fleet.registerUnknown(task.machine, startedAt);
    if (worker) worker.assign(task);
    // The machine was proven gone in this term, and the task with it.
    else task.job.releaseTask(task, clock.now());
  }
}

function contactRank(worker: Worker): number {
  for (const task of worker.tasks)
    if (task.job.spec.priority === Priority.Production) return ContactRank.ProductionWork;
  return worker.free.cpus > 0 ? ContactRank.FreeCapacity : ContactRank.Full;
}
