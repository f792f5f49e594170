/** Attributes task failures to machines or jobs, and quarantines machines with too many failures. */
import type { LeaderContext } from '../core/context.js';
import type { MonotonicTime } from '../model/time.js';
import type { Task, TaskJob } from '../scheduler/task.js';
import type { ReconciliationResult } from '../workers/reconciliation.js';
import type { TrialSuccess } from '../workers/state/failure-quarantine.js';
import type { Worker } from '../workers/state/worker.js';

/** The run time after which a task that ends shows that its job can run; tasks of services never end by themselves. */
const SOUND_RUN_MS = 60_000;

type EndedTasks = Pick<ReconciliationResult, 'finished' | 'failed'>;

/** What the ended and running tasks of a heartbeat show about a machine that gets trial tasks only. */
type Evidence = TrialSuccess | 'trial failed' | 'none';

/** Counts a failed task against its machine or its job, and cordons failing machines until a trial task runs. */
export class TaskFailurePolicy {
  constructor(private readonly ctx: Pick<LeaderContext, 'log' | 'operators'>) {}

  /** Applies the ended tasks of a heartbeat: counts failures, and begins, renews or ends the machine's quarantine. */
  apply(worker: Worker, result: EndedTasks, now: MonotonicTime): void {
    const evidence = worker.quarantine.isActive(now) ? evidenceOf(worker, result, now) : 'none';
    for (const { task } of result.finished) task.job.failures.recordSuccess();
    for (const { task, cause, ranMs } of result.failed) {
      if (ranMs !== null && ranMs >= SOUND_RUN_MS) task.job.failures.recordSuccess();
      if (cause === 'error') this.recordFailure(worker, task.job, now);
    }
    if (evidence === 'trial failed') this.restrictAgain(worker, now);
    else if (evidence !== 'none') this.endQuarantine(worker, evidence);
    this.cordonIfFailing(worker, now);
  }

  /**
   * Counts a failure of one of the job's tasks on this worker. The machine is assumed to be at fault if failures have
   * counted against it before, if at least as many jobs have failed on it as the job has failed on machines, or if other
   * tasks of the job have succeeded. Otherwise the job is more likely at fault itself; after a third machine it backs
   * off (`JobFailures`). A failure on a machine that is cordoned as failing shows nothing about the job.
   *
   * Unless the job is at fault, the machine is put on probation, so that it does not fail all tasks that have room there
   * before its heartbeats show the failures.
   */
  recordFailure(worker: Worker, job: TaskJob, now: MonotonicTime): void {
    const { failures, spec, doneCount } = job;
    failures.record(worker.id, now, { countsAgainstJob: worker.cordon !== 'failing' });
    worker.failedJobs.add(spec.id);
    const isMachineSuspect = worker.taskFailureCount > 0 || worker.failedJobs.size >= failures.machineCount;
    if (isMachineSuspect || doneCount > 0) worker.taskFailureCount++;
    if (!failures.isJobFaulty && !worker.quarantine.isActive(now)) worker.quarantine.beginProbation(now);
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

  private restrictAgain(worker: Worker, now: MonotonicTime): void {
    if (worker.cordon === 'failing') this.quarantine(worker, now);
    else worker.quarantine.beginProbation(now);
  }

  private quarantine(worker: Worker, now: MonotonicTime): void {
    const pauseMs = worker.quarantine.begin(now);
    this.ctx.log.info(
      { machine: worker.id, failures: worker.taskFailureCount, pauseMs },
      'failing machine cordoned',
    );
  }

  /**
   * Ends quarantine or probation, unless the machine is being deleted. A machine that was cordoned and whose trial task
   * still runs is cordoned again after a single failure.
   */
  private endQuarantine(worker: Worker, evidence: TrialSuccess): void {
    if (worker.isRemoving) return;
    worker.quarantine.end(evidence);
    if (worker.cordon !== 'failing') return;
    worker.cordon = null;
    const { maxTaskFailures } = this.ctx.operators.workers;
    worker.taskFailureCount = evidence === 'trial succeeded' ? 0 : maxTaskFailures - 1;
    this.ctx.log.info({ machine: worker.id, evidence }, 'failing machine uncordoned');
  }
}

/** Only trial tasks are evidence: others were already running when tasks began to fail. */
function evidenceOf(
  { quarantine, tasks, contact }: Worker,
  { finished, failed }: EndedTasks,
  now: MonotonicTime,
): Evidence {
  const isTrial = ({ task }: { readonly task: Task }): boolean => quarantine.isTrial(task);
  if (finished.some(isTrial)) return 'trial succeeded';
  if (failed.some((failure) => failure.cause === 'error' && isTrial(failure))) return 'trial failed';
  // A late copy of an older heartbeat does not show that the trial task still runs.
  return quarantine.hasTrialRun(tasks, contact.lastHeartbeatAt ?? now) ? 'trial runs' : 'none';
}
