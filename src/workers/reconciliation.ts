/** Reconciles the attempts in a worker's heartbeat with the tasks that the leader has assigned to the worker. */
import { type Epoch, epochOfFencingToken, parseTaskId } from '../model/ids.js';
import type { Attempt, Heartbeat } from '../model/heartbeat.js';
import type { MonotonicTime } from '../model/time.js';
import type { JobStore } from '../scheduler/job-store.js';
import type { Task } from '../scheduler/task.js';
import { type EndedAttempt, type Worker } from './state/worker.js';

/** A task that has ended successfully. */
interface FinishedTask {
  readonly task: Task;
  /**
   * The time from the first heartbeat that showed the task running to the one that showed its end, in ms; null if no
   * heartbeat has shown the task running.
   */
  readonly ranMs: number | null;
}

/** A task whose attempt has ended without success; the task is released for another attempt. */
interface FailedTask {
  readonly task: Task;
  readonly cause: string | null;
  /** See `FinishedTask.ranMs`. */
  readonly ranMs: number | null;
}

/** The changes that a heartbeat has caused, for the caller to act on. */
export interface ReconciliationResult {
  /**
   * Whether a new scheduling decision is needed: a task ended or was released, or the worker's availability changed.
   */
  readonly changed: boolean;
  readonly finished: readonly FinishedTask[];
  readonly failed: readonly FailedTask[];
  /** Tasks that the heartbeat proves gone without having ended. */
  readonly lost: readonly Task[];
  /** Tasks that the heartbeat shows running for the first time. */
  readonly started: readonly Task[];
}

const attemptKey = (attempt: { task: string; attemptNumber: number }): string =>
  `${attempt.task}#${attempt.attemptNumber}`;

/**
 * Reconciles the worker's state with a heartbeat of this epoch that is newer than the last one, and ignores any other.
 *
 * Only a heartbeat that is newer and of this epoch proves a task gone: the network may have delayed an older one
 * while the task started.
 */
export function reconcile(
  worker: Worker,
  heartbeat: Heartbeat,
  epoch: Epoch,
  jobs: JobStore,
  now: MonotonicTime,
): ReconciliationResult {
  const reconciliation = new Reconciliation(worker, heartbeat, epoch, jobs, now);
  if (epochOfFencingToken(heartbeat.token) === epoch && worker.isNewer(heartbeat)) reconciliation.run();
  return reconciliation;
}

/** The reconciliation of one heartbeat and its result, combined to allocate a single object for each heartbeat. */
class Reconciliation implements ReconciliationResult {
  changed = false;
  readonly finished: FinishedTask[] = [];
  readonly failed: FailedTask[] = [];
  readonly lost: Task[] = [];
  readonly started: Task[] = [];

  constructor(
    private readonly worker: Worker,
    private readonly heartbeat: Heartbeat,
    private readonly epoch: Epoch,
    private readonly jobs: JobStore,
    private readonly now: MonotonicTime,
  ) {}

  run(): void {
    const { worker, heartbeat } = this;
    this.updateWorker();
    const assigned = new Map<string, Task>();
    for (const task of worker.tasks)
      assigned.set(attemptKey({ task: task.id, attemptNumber: task.attemptNumber }), task);
    const reported = new Set(heartbeat.attempts.map(attemptKey));
    this.applyAttempts(assigned);
    for (const key of worker.endedAttempts.keys()) if (!reported.has(key)) worker.endedAttempts.delete(key);
    this.releaseMissingTasks(assigned, reported);
    worker.idleSince = worker.isEmpty ? (worker.idleSince ?? this.now) : null;
  }

  /** Applies the fields of the heartbeat that describe the worker itself. */
  private updateWorker(): void {
    const { worker, heartbeat, now } = this;
    const isNewIncarnation = worker.hasReported && heartbeat.incarnation > worker.incarnation;
    if (!worker.hasReported || !worker.isUp || isNewIncarnation) this.changed = true;
    if (!worker.hasReported || isNewIncarnation) worker.beginIncarnation(heartbeat.incarnation, now);
    worker.hasReported = true;
    worker.isUp = true;
    worker.heartbeats.advance(heartbeat.sequence);
    worker.address = heartbeat.address;
    if (heartbeat.interruptionNotice !== null) this.applyInterruptionNotice(heartbeat.interruptionNotice);
    if (isNewIncarnation) worker.endedAttempts.clear();
  }

  /** Records when the machine will be reclaimed; of several interruption notices, the earliest time applies. */
  private applyInterruptionNotice(timeToReclaimMs: number): void {
    const { worker } = this;
    const reclaimedAt = (this.now + timeToReclaimMs) as MonotonicTime;
    if (worker.interruptionAt === null) this.changed = true;
    if (worker.interruptionAt === null || reclaimedAt < worker.interruptionAt)
      worker.interruptionAt = reclaimedAt;
  }

  private applyAttempts(assigned: ReadonlyMap<string, Task>): void {
    const { worker } = this;
    const unassignedAttempts: Attempt[] = [];
    for (const attempt of this.heartbeat.attempts) {
      const key = attemptKey(attempt);
      const task = assigned.get(key);
      if (task) this.applyAttempt(task, attempt);
      else if (attempt.state !== 'exited') unassignedAttempts.push(attempt);
      else if (!worker.endedAttempts.has(key))
        worker.endedAttempts.set(key, this.describeUnassignedEndedAttempt(attempt));
    }
    worker.unassignedAttempts = unassignedAttempts;
  }

  private applyAttempt(task: Task, attempt: Attempt): void {
    task.isInherited = false;
    task.startSentIncarnation ??= this.worker.incarnation;
    if (attempt.state === 'exited') {
      this.endTask(task, attempt);
      return;
    }
    if (attempt.state === 'running' && task.observedState !== 'running') {
      task.runningAt ??= this.now;
      this.started.push(task);
      this.worker.cacheImage(task.job.spec.image, task.job.spec.imageGb);
    }
    task.observedState = attempt.state;
  }

  private endTask(task: Task, attempt: Attempt): void {
    const { worker, now } = this;
    const ranMs = task.runningAt === null ? null : now - task.runningAt;
    const { startSentToken } = task;
    worker.unassign(task);
    this.changed = true;
    if (attempt.cause === 'done') {
      worker.cacheImage(task.job.spec.image, task.job.spec.imageGb);
      worker.recordTaskSuccess(task, now);
      task.job.finishTask(task, now);
      this.finished.push({ task, ranMs });
    } else {
      task.job.releaseTask(task, now);
      this.failed.push({ task, cause: attempt.cause, ranMs });
    }
    const chunk = task.job.chunkOf(task.index);
    worker.endedAttempts.set(attemptKey(attempt), {
      task: attempt.task,
      attemptNumber: attempt.attemptNumber,
      chunk,
      version: chunk.version,
      startSentToken,
    });
  }

  /**
   * Describes an ended attempt that is not the current attempt of its task, so that its result is not needed. The
   * tokens of its start commands are no longer known, so the current token, the highest one sent, is assumed.
   */
  private describeUnassignedEndedAttempt(attempt: Attempt): EndedAttempt {
    const id = parseTaskId(attempt.task);
    const job = id ? this.jobs.get(id.job) : undefined;
    const chunk = job && id ? job.chunkOf(id.index) : null;
    return {
      task: attempt.task,
      attemptNumber: attempt.attemptNumber,
      chunk,
      version: chunk?.version ?? 0,
      startSentToken: this.worker.fencingToken(this.epoch),
    };
  }

  /**
   * Releases the assigned tasks that are missing from the heartbeat and that the heartbeat proves gone. For a missing
   * task that is not proven gone but was reported earlier, a higher token is requested.
   */
  private releaseMissingTasks(assigned: ReadonlyMap<string, Task>, reported: ReadonlySet<string>): void {
    const { worker, now } = this;
    for (const [key, task] of assigned) {
      if (reported.has(key) || task.phase !== 'placed') continue;
      if (isProvenGone(task, this.heartbeat)) {
        worker.unassign(task);
        task.job.releaseTask(task, now);
        this.lost.push(task);
        this.changed = true;
      } else if (task.observedState !== null) worker.fence.needsHigherToken = true;
    }
  }
}

/** Whether a heartbeat without the task proves that the task does not run on the worker and never will. */
function isProvenGone(task: Task, heartbeat: Heartbeat): boolean {
  // A worker that has seen this epoch refuses commands of earlier epochs.
  if (task.isInherited) return true;
  // No start command has been sent yet, and none will be if the task is to be stopped.
  if (task.startSentIncarnation === null) return task.pendingStop !== null;
  // The worker refuses commands addressed to an earlier incarnation, and has killed that incarnation's tasks.
  if (heartbeat.incarnation > task.startSentIncarnation) return true;
  // Under a higher token, the worker refuses every start command sent so far, including duplicates. A null token means
  // that only earlier epochs sent start commands, which the worker refuses as well.
  return task.startSentToken === null || heartbeat.token > task.startSentToken;
}

/** Releases all placed tasks of a worker whose machine is proven gone or whose lease has expired, and returns them. */
export function releaseAllTasks(worker: Worker, now: MonotonicTime): Task[] {
  const lost: Task[] = [];
  for (const task of [...worker.tasks]) {
    // A task whose start is still being committed stays assigned. If it were released here, no start command would be
    // sent after the commit and nothing would prove the task gone, so its job would wait forever.
    if (task.phase !== 'placed') continue;
    worker.unassign(task);
    task.job.releaseTask(task, now);
    lost.push(task);
  }
  return lost;
}
