/** Reconciliation: compares what a worker's heartbeat shows with what the leader has assigned to it. */
import { type Epoch, epochOfFencingToken, parseTaskId } from '../model/ids.js';
import type { Attempt, Heartbeat } from '../model/heartbeat.js';
import type { MonotonicTime } from '../model/time.js';
import type { JobStore } from '../scheduler/job-store.js';
import type { Task } from '../scheduler/task.js';
import { type EndedAttempt, type Worker } from './state/worker.js';

/** A task that has ended with success. */
interface FinishedTask {
  readonly task: Task;
  /** Null: it was never seen running. */
  readonly ranMs: number | null;
}

/** A task that has ended without success. */
interface FailedTask {
  readonly task: Task;
  readonly cause: string | null;
}

/** What a heartbeat has changed, for those who act on it. */
export interface ReconciliationResult {
  /** Whether tasks now wait, or capacity became free. */
  readonly changed: boolean;
  readonly finished: readonly FinishedTask[];
  readonly failed: readonly FailedTask[];
  /** Tasks proven gone that had not ended. */
  readonly lost: readonly Task[];
  /** Tasks that now run. */
  readonly started: readonly Task[];
}

const attemptKey = (attempt: { task: string; attemptNumber: number }): string =>
  `${attempt.task}#${attempt.attemptNumber}`;

/**
 * Takes in a heartbeat that was made under our epoch and is newer than the last one; of any other it changes nothing.
 *
 * Only such a heartbeat proves a task gone: an older one may have been held back by the network
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

/** One heartbeat's reconciliation, and its result: one object, since there is one for each heartbeat. */
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
    this.releaseMissing(assigned, reported);
    worker.idleSince = worker.isEmpty ? (worker.idleSince ?? this.now) : null;
  }

  /** What the heartbeat says of the worker itself. */
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

  /** The earliest time that was announced counts. */
  private applyInterruptionNotice(notice: number): void {
    const { worker } = this;
    const reclaimedAt = (this.now + notice) as MonotonicTime;
    if (worker.interruptionAt === null) this.changed = true;
    if (worker.interruptionAt === null || reclaimedAt < worker.interruptionAt)
      worker.interruptionAt = reclaimedAt;
  }

  private applyAttempts(assigned: ReadonlyMap<string, Task>): void {
    const { worker } = this;
    const unwanted: Attempt[] = [];
    for (const attempt of this.heartbeat.attempts) {
      const key = attemptKey(attempt);
      const task = assigned.get(key);
      if (task) this.applyAttempt(task, attempt);
      else if (attempt.state !== 'exited') unwanted.push(attempt);
      else if (!worker.endedAttempts.has(key)) worker.endedAttempts.set(key, this.endedUnassigned(attempt));
    }
    worker.unwantedAttempts = unwanted;
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
      worker.failures = 0;
      task.job.finishTask(task, now);
      this.finished.push({ task, ranMs });
    } else {
      task.job.releaseTask(task, now);
      this.failed.push({ task, cause: attempt.cause });
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
   * An ended attempt that is not the current one of its task: nothing of it is still wanted. What start
   * commands it had is not known any more: any of ours may have been one.
   */
  private endedUnassigned(attempt: Attempt): EndedAttempt {
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

  /** Releases the tasks that the heartbeat lacks and that it proves gone. */
  private releaseMissing(assigned: ReadonlyMap<string, Task>, reported: ReadonlySet<string>): void {
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

/** Whether a heartbeat that lacks the task proves that it does not run there, and never will. */
function isProvenGone(task: Task, heartbeat: Heartbeat): boolean {
  // Commands of earlier epochs are refused by a worker that has seen ours.
  if (task.isInherited) return true;
  // No start command has left yet; it will, unless the task is to be stopped.
  if (task.startSentIncarnation === null) return task.pendingStop !== null;
  // Commands to an earlier incarnation are refused, and that incarnation's tasks were killed.
  if (heartbeat.incarnation > task.startSentIncarnation) return true;
  // Every start command that left, and every copy of one, is refused from now on.
  return task.startSentToken === null || heartbeat.token > task.startSentToken;
}

/** Releases the tasks of a machine that is proven gone with everything on it. Returns them. */
export function releaseAllTasks(worker: Worker, now: MonotonicTime): Task[] {
  const lost: Task[] = [];
  for (const task of [...worker.tasks]) {
    // A start that is still being committed keeps its place: dropped here it would, once committed, be
    // sent by nobody and proven gone by nobody, and its job would wait for ever.
    if (task.phase !== 'placed') continue;
    worker.unassign(task);
    task.job.releaseTask(task, now);
    lost.push(task);
  }
  return lost;
}
