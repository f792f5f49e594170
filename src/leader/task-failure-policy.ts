/** Attributes task failures to machines or jobs, and quarantines machines with too many failures. */
import type { LeaderContext } from '../core/context.js';
import type { MonotonicTime } from '../model/time.js';
import type { Task, TaskJob } from '../scheduler/task.js';
import type { ReconciliationResult } from '../workers/reconciliation.js';
import type { Worker } from '../workers/state/worker.js';

/** What a trial task has shown about its machine. */
type TrialEvidence = 'trial succeeded' | 'trial runs' | 'trial failed' | 'none';

/** Counts a failed task against its machine or its job, and cordons failing machines until a trial task runs. */
export class TaskFailurePolicy {
  constructor(private readonly ctx: Pick<LeaderContext, 'log' | 'operators'>) {}

  /** Applies the ended tasks of a heartbeat: counts failures, and begins, renews or ends the machine's quarantine. */
  apply(worker: Worker, result: Pick<ReconciliationResult, 'finished' | 'failed'>, now: MonotonicTime): void {
    const evidence = worker.cordon === 'failing' ? trialEvidence(worker, result, now) : 'none';
    for (const { task, cause } of result.failed) {
      if (cause === 'error') this.recordFailure(worker, task.job, now);
    }
    if (evidence === 'trial failed') this.quarantine(worker, now);
    else if (evidence !== 'none') this.endQuarantine(worker, evidence);
    this.cordonIfFailing(worker, now);
  }

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
   * continue; the machine is returned after they have ended, or gets a trial task after some time.
   */
  cordonIfFailing(worker: Worker, now: MonotonicTime): void {
    if (worker.cordon !== null || worker.taskFailureCount < this.ctx.operators.workers.maxTaskFailures)
      return;
    worker.cordon = 'failing';
    this.quarantine(worker, now);
  }

  private quarantine(worker: Worker, now: MonotonicTime): void {
    const pauseMs = worker.quarantine.begin(now);
    this.ctx.log.info(
      { machine: worker.id, failures: worker.taskFailureCount, pauseMs },
      'failing machine cordoned',
    );
  }

  /**
   * Ends the quarantine and the cordon, unless the machine is being deleted. A machine whose trial task still runs is
   * cordoned again after a single failure.
   */
  private endQuarantine(worker: Worker, evidence: 'trial succeeded' | 'trial runs'): void {
    if (worker.isRemoving) return;
    worker.quarantine.end(evidence);
    worker.cordon = null;
    const { maxTaskFailures } = this.ctx.operators.workers;
    worker.taskFailureCount = evidence === 'trial succeeded' ? 0 : maxTaskFailures - 1;
    this.ctx.log.info({ machine: worker.id, evidence }, 'failing machine uncordoned');
  }
}

function trialEvidence(
  { quarantine, tasks }: Worker,
  { finished, failed }: Pick<ReconciliationResult, 'finished' | 'failed'>,
  now: MonotonicTime,
): TrialEvidence {
  const isTrial = ({ task }: { readonly task: Task }): boolean => quarantine.isTrial(task);
  if (finished.some(isTrial)) return 'trial succeeded';
  if (failed.some((failure) => failure.cause === 'error' && isTrial(failure))) return 'trial failed';
  return quarantine.hasTrialRun(tasks, now) ? 'trial runs' : 'none';
}
