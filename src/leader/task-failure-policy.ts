import type { LeaderContext } from '../core/context.js';
import { type MonotonicTime, plus } from '../model/time.js';
import type { ActiveJob } from '../scheduler/active-job.js';
import type { Worker } from '../workers/state/worker.js';

/** The number of machines on which a job's tasks fail before the job itself is held to be at fault. */
const FAULTY_JOB_MACHINES = 3;
const INITIAL_BACKOFF_MS = 1000;
const MAX_BACKOFF_MS = 60_000;
const MAX_BACKOFF_DOUBLINGS = 6;

/** Decides whether a failed task is counted against its machine or its job, and what follows. */
export class TaskFailurePolicy {
  constructor(private readonly ctx: Pick<LeaderContext, 'log' | 'operators'>) {}

  /**
   * Counts a failure of one of the job's tasks on this worker. Mostly the machine is at fault. A job that fails on a
   * second machine is more likely at fault itself: it counts against no further machine, and after a third it backs off.
   */
  recordFailure(worker: Worker, job: ActiveJob, now: MonotonicTime): void {
    job.failures++;
    job.failedMachines.add(worker.id);
    if (job.failedMachines.size <= 1 || worker.failures > 0) worker.failures++;
    if (job.failedMachines.size >= FAULTY_JOB_MACHINES) job.backoffUntil = plus(now, backoffMs(job));
  }

  /** Cordons a worker with too many failures. Replicas that still run there are left alone: the machine is returned once they have ended. */
  cordonIfFailing(worker: Worker): void {
    const { log, operators } = this.ctx;
    if (worker.cordon !== null || worker.failures < operators.workers.maxTaskFailures) return;
    log.info({ machine: worker.id, failures: worker.failures }, 'failing machine cordoned');
    worker.cordon = 'failing';
  }
}

function backoffMs(job: ActiveJob): number {
  const doublings = Math.min(MAX_BACKOFF_DOUBLINGS, job.failures - 2);
  return Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** doublings);
}
