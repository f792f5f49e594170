/** Restores a new leader's state from the stored records: jobs, machines, and the assignments of tasks to machines. */
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

const RESTORE_RETRY_DELAY_MS = 200;

/** The order in which a new leader contacts workers; lower values are contacted first. */
const ContactRank = { ProductionWork: 0, FreeCapacity: 1, Full: 2 } as const;

/** The leader components that `StateRestorer` uses. */
interface StateRestorerParts {
  readonly fleet: FleetManager;
  readonly fleetRecordWriter: FleetRecordWriter;
  readonly intake: JobIntake;
  readonly workerLeasePolicy: WorkerLeasePolicy;
}

/** Loads the stored records, with retries until all are loaded or the term ends. */
export class StateRestorer {
  /**
   * Whether the record of an unfinished job or of its progress cannot be read, so that unknown tasks may be running.
   */
  hasUnreadableRecords = false;

  constructor(
    private readonly ctx: LeaderContext,
    private readonly parts: StateRestorerParts,
  ) {}

  /**
   * Restores the state and returns the revision after which changes must be watched, or null if the term ended first.
   */
  run(): Promise<Revision | null> {
    const onFailure = (error: unknown): void =>
      this.ctx.log.info({ error: errorMessage(error) }, 'state restore failed');
    return retryUntilTermEnds(this.ctx, { retryDelayMs: RESTORE_RETRY_DELAY_MS, onFailure }, () =>
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

  /** Logs the revision and duration of the restore, and the numbers of jobs and of machines by state of their facts. */
  private logRestored({ jobs, revision }: LoadedJobs, startedAt: MonotonicTime): void {
    const { clock, epoch, workers, log } = this.ctx;
    const machines = { confirmed: 0, unconfirmed: 0, unknown: 0 };
    for (const { facts } of workers.values()) machines[facts.state]++;
    const durationMs = Math.round(since(clock.now(), startedAt));
    log.info({ epoch, revision, durationMs, jobs: jobs.length, machines }, 'state restored');
  }

  /**
   * Returns the workers that are up or have tasks, in contact order: workers with production tasks, workers with free
   * capacity, other workers.
   */
  workersInContactOrder(): Worker[] {
    return [...this.ctx.workers.values()]
      .filter((worker) => worker.isUp || !worker.isEmpty)
      .map((worker) => ({ worker, rank: contactRank(worker) }))
      .sort((left, right) => left.rank - right.rank)
      .map(({ worker }) => worker);
  }

  private restore(loadedJobs: LoadedJobs, loadedFleet: LoadedFleet): void {
    const { intake, fleetRecordWriter } = this.parts;
    intake.addOpenJobs(loadedJobs.jobs);
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
   * Reserves capacity for a task on the machine to which a stored record assigns it. A machine without its own record
   * is fenced like an unresponsive machine unless its worker reports; nothing is assumed about the machine until its
   * facts are learned.
   */
  restoreAssignment(task: Task): void {
    const { workers, startedAt, clock } = this.ctx;
    if (task.machine === null) return;
    const worker = workers.get(task.machine) ?? this.parts.fleet.registerUnknown(task.machine, startedAt);
    if (worker) worker.assign(task);
    // The machine, and therefore the task, was proven gone in this term.
    else task.job.releaseTask(task, clock.now());
  }
}

function contactRank(worker: Worker): number {
  for (const task of worker.tasks)
    if (task.job.spec.priority === Priority.Production) return ContactRank.ProductionWork;
  return worker.free.cpus > 0 ? ContactRank.FreeCapacity : ContactRank.Full;
}
