/** Decides whether a failed task counts against its machine, and cordons machines that fail too often. */
import type { LeaderContext } from '../core/context.js';
import type { MonotonicTime } from '../model/time.js';
import type { TaskJob } from '../scheduler/task.js';
import type { Worker } from '../workers/state/worker.js';

/** Decides whether a failed task is counted against its machine or its job, and what follows. */
export class TaskFailurePolicy {
  constructor(private readonly ctx: Pick<LeaderContext, 'log' | 'operators'>) {}

  /**
   * Counts a failure of one of the job's tasks on this worker. Mostly the machine is at fault. A job that fails on a
   * second machine is more likely at fault itself: it counts against no further machine, and after a third it backs off
   * (`JobFailures`).
   */
  recordFailure(worker: Worker, job: TaskJob, now: MonotonicTime): void {
    job.failures.record(worker.id, now);
    if (job.failures.machineCount <= 1 || worker.failures > 0) worker.failures++;
  }

  /**
   * Cordons a worker with too many failures. Replicas that still run there are left alone: the machine is returned once
   * they have ended.
   */
  cordonIfFailing(worker: Worker): void {
    const { log, operators } = this.ctx;
    if (worker.cordon !== null || worker.failures < operators.workers.maxTaskFailures) return;
    log.info({ machine: worker.id, failures: worker.failures }, 'failing machine cordoned');
    worker.cordon = 'failing';
  }
}
