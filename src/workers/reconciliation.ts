import { type Epoch, epochOfFencingToken, parseTaskId, type FencingToken } from '../model/ids.js';
import type { Attempt, Heartbeat } from '../model/heartbeat.js';
import type { MonotonicTime } from '../model/time.js';
import type { JobStore } from '../scheduler/job-store.js';
import type { Task } from '../scheduler/task.js';
import { type EndedAttempt, type Worker } from './state/worker.js';

/** What a report told that others want to know. */
export interface ReconciliationResult {
  /** Something now waits, or room was made. */
  changed: boolean;
  finished: { task: Task; ranMs: number | null }[];
  failed: { task: Task; cause: string | null }[];
  lost: Task[];
  started: Task[];
}

const attemptKey = (a: { task: string; attemptNumber: number }): string => `${a.task}#${a.attemptNumber}`;

/**
 * Takes in a report that was made under our epoch and is newer than the last one.
 *
 * Only such a report proves a task gone: an older one may have been held back by the network
 * while the task started.
 */
export function reconcile(
  worker: Worker,
  heartbeat: Heartbeat,
  epoch: Epoch,
  jobs: JobStore,
  now: MonotonicTime,
): ReconciliationResult {
  const told: ReconciliationResult = { changed: false, finished: [], failed: [], lost: [], started: [] };
  if (epochOfFencingToken(heartbeat.token) !== epoch || !worker.isNewer(heartbeat)) return told;
  meet(worker, heartbeat, told, now);
  const current = new Map<string, Task>();
  for (const task of worker.tasks)
    current.set(attemptKey({ task: task.id, attemptNumber: task.attemptNumber }), task);
  const shown = new Set(heartbeat.attempts.map(attemptKey));
  takeAttempts(worker, heartbeat, current, jobs, worker.fencingToken(epoch), told, now);
  for (const key of worker.endedAttempts.keys()) if (!shown.has(key)) worker.endedAttempts.delete(key);
  for (const [key, task] of current) {
    if (shown.has(key) || task.phase !== 'placed') continue;
    if (provenGone(task, heartbeat)) lose(worker, task, now, told);
    else if (task.observedState !== null) worker.needsHigherToken = true;
  }
  worker.idleSince = worker.isEmpty ? (worker.idleSince ?? now) : null;
  return told;
}

/** What the report says of the machine itself. */
function meet(worker: Worker, heartbeat: Heartbeat, told: ReconciliationResult, now: MonotonicTime): void {
  const newSession = worker.hasReported && heartbeat.incarnation > worker.incarnation;
  if (!worker.hasReported || !worker.isUp || newSession) told.changed = true;
  if (!worker.hasReported || newSession) worker.beginIncarnation(heartbeat.incarnation, now);
  worker.hasReported = true;
  worker.isUp = true;
  worker.sequence = heartbeat.sequence;
  worker.address = heartbeat.address;
  if (heartbeat.interruptionNotice !== null) {
    const takenAt = (now + heartbeat.interruptionNotice) as MonotonicTime;
    if (worker.interruptionAt === null) told.changed = true;
    worker.interruptionAt =
      worker.interruptionAt === null || takenAt < worker.interruptionAt ? takenAt : worker.interruptionAt;
  }
  if (newSession) worker.endedAttempts.clear();
}

function takeAttempts(
  worker: Worker,
  heartbeat: Heartbeat,
  current: ReadonlyMap<string, Task>,
  jobs: JobStore,
  token: FencingToken,
  told: ReconciliationResult,
  now: MonotonicTime,
): void {
  const strays: Attempt[] = [];
  for (const attempt of heartbeat.attempts) {
    const key = attemptKey(attempt);
    const task = current.get(key);
    if (task) show(worker, task, attempt, now, told);
    else if (attempt.state !== 'exited') strays.push(attempt);
    else if (!worker.endedAttempts.has(key)) worker.endedAttempts.set(key, endedStray(attempt, jobs, token));
  }
  worker.unwantedAttempts = strays;
}

function provenGone(task: Task, heartbeat: Heartbeat): boolean {
  // Orders of earlier epochs are refused by a worker that has seen ours.
  if (task.isInherited) return true;
  // No order has left yet; it will, unless it is to be killed.
  if (task.startSentIncarnation === null) return task.pendingStop !== null;
  // Orders of an earlier session are refused, and the session's tasks were killed.
  if (heartbeat.incarnation > task.startSentIncarnation) return true;
  // Every run order that left, and every copy of one, is refused from now on.
  return task.startSentToken === null || heartbeat.token > task.startSentToken;
}

function show(
  worker: Worker,
  task: Task,
  attempt: Attempt,
  now: MonotonicTime,
  told: ReconciliationResult,
): void {
  task.isInherited = false;
  task.startSentIncarnation ??= worker.incarnation;
  if (attempt.state === 'exited') {
    exit(worker, task, attempt, now, told);
    return;
  }
  if (attempt.state === 'running' && task.observedState !== 'running') {
    task.runningAt ??= now;
    told.started.push(task);
    worker.cacheImage(task.job.spec.image, task.job.spec.imageGb);
  }
  task.observedState = attempt.state;
}

function exit(
  worker: Worker,
  task: Task,
  attempt: Attempt,
  now: MonotonicTime,
  told: ReconciliationResult,
): void {
  const ranMs = task.runningAt === null ? null : now - task.runningAt;
  const { startSentToken } = task;
  worker.unassign(task);
  told.changed = true;
  if (attempt.cause === 'done') {
    worker.cacheImage(task.job.spec.image, task.job.spec.imageGb);
    worker.failures = 0;
    worker.failedJobs.clear();
    task.job.finishTask(task, now);
    told.finished.push({ task, ranMs });
  } else {
    task.job.releaseTask(task, now);
    told.failed.push({ task, cause: attempt.cause });
  }
  const chunk = task.job.chunkOf(task.index);
  const ended: EndedAttempt = {
    task: attempt.task,
    attemptNumber: attempt.attemptNumber,
    chunk,
    version: chunk.version,
    startSentToken,
  };
  worker.endedAttempts.set(attemptKey(attempt), ended);
}

/**
 * An ended attempt that is not the current one of its task: nothing of it is still wanted. What run
 * orders it had is not known any more: any of ours may have been one.
 */
function endedStray(attempt: Attempt, jobs: JobStore, startSentToken: FencingToken): EndedAttempt {
  const id = parseTaskId(attempt.task);
  const job = id ? jobs.get(id.job) : undefined;
  const chunk = job && id ? job.chunkOf(id.index) : null;
  return {
    task: attempt.task,
    attemptNumber: attempt.attemptNumber,
    chunk,
    version: chunk?.version ?? 0,
    startSentToken,
  };
}

function lose(worker: Worker, task: Task, now: MonotonicTime, told: ReconciliationResult): void {
  worker.unassign(task);
  task.job.releaseTask(task, now);
  told.lost.push(task);
  told.changed = true;
}

/** The host and everything on it is proven gone. */
export function releaseAllTasks(worker: Worker, now: MonotonicTime): Task[] {
  const lost: Task[] = [];
  for (const task of [...worker.tasks]) {
    // A start that is still being committed keeps its place: dropped here it would, once committed, be
    // ordered by nobody and proven gone by nobody, and its job would wait for ever.
    if (task.phase !== 'placed') continue;
    worker.unassign(task);
    task.job.releaseTask(task, now);
    lost.push(task);
  }
  return lost;
}
