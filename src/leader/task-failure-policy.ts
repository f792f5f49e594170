/** Attributes task failures to machines or jobs, and cordons machines with too many failures. */
import type { LeaderContext } from '../core/context.js';
import type { MonotonicTime } from '../model/time.js';
import type { TaskJob } from '../scheduler/task.js';
import type { Worker } from '../workers/state/worker.js';

/** Counts a failed task against its machine or its job, and cordons failing machines. */
export class TaskFailurePolicy {
  constructor(private readonly ctx: Pick<LeaderContext, 'log' | 'operators'>) {}

  /**
   * Counts a failure of one of the job's tasks on this worker. The first machine on which a job fails is assumed to be
   * at fault. A job that fails on a second machine is more likely at fault itself: its failures count against no
   * further machine without earlier failures, and after a third machine the job backs off (`JobFailures`).
   */
  recordFailure(worker: Worker, job: TaskJob, now: MonotonicTime): void {
    job.failures.record(worker.id, now);
    if (job.failures.machineCount <= 1 || worker.taskFailureCount > 0) worker.taskFailureCount++;
  }

  /**
   * Cordons a worker with at least `maxTaskFailures` counted failures, unless it is already cordoned. Its running tasks
   * continue; the machine is returned after they have ended.
   */
  cordonIfFailing(worker: Worker): void {
    const { log, operators } = this.ctx;
    if (worker.cordon !== null || worker.taskFailureCount < operators.workers.maxTaskFailures) return;
    log.info({ machine: worker.id, failures: worker.taskFailureCount }, 'failing machine cordoned');
    worker.cordon = 'failing';
  }
}
