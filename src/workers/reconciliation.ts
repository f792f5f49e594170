import { type Epoch, epochOfToken, splitTaskId, type Token } from '../model/ids.js';
import type { Attempt, Report } from '../model/heartbeat.js';
import type { Steady } from '../model/time.js';
import type { JobStore } from '../scheduler/job-store.js';
import type { Task } from '../scheduler/task.js';
import { type EndedAttempt, type Host } from './state/worker.js';

/** What a report told that others want to know. */
export interface Told {
  /** Something now waits, or room was made. */
  changed: boolean;
  finished: { task: Task; ranMs: number | null }[];
  failed: { task: Task; cause: string | null }[];
  lost: Task[];
  started: Task[];
}

const attemptKey = (a: { task: string; tryNo: number }): string => `${a.task}#${a.tryNo}`;

/**
 * Takes in a report that was made under our epoch and is newer than the last one.
 *
 * Only such a report proves a task gone: an older one may have been held back by the network
 * while the task started.
 */
export function applyReport(host: Host, report: Report, epoch: Epoch, jobs: JobStore, now: Steady): Told {
  const told: Told = { changed: false, finished: [], failed: [], lost: [], started: [] };
  if (epochOfToken(report.token) !== epoch || !host.newer(report)) return told;
  meet(host, report, told, now);
  const current = new Map<string, Task>();
  for (const task of host.tasks) current.set(attemptKey({ task: task.id, tryNo: task.tryNo }), task);
  const shown = new Set(report.attempts.map(attemptKey));
  takeAttempts(host, report, current, jobs, host.token(epoch), told, now);
  for (const key of host.ended.keys()) if (!shown.has(key)) host.ended.delete(key);
  for (const [key, task] of current) {
    if (shown.has(key) || task.phase !== 'placed') continue;
    if (provenGone(task, report)) lose(host, task, now, told);
    else if (task.shown !== null) host.doubted = true;
  }
  host.idleSince = host.empty ? (host.idleSince ?? now) : null;
  return told;
}

/** What the report says of the machine itself. */
function meet(host: Host, report: Report, told: Told, now: Steady): void {
  const newSession = host.known && report.session > host.session;
  if (!host.known || !host.up || newSession) told.changed = true;
  if (!host.known || newSession) host.beginSession(report.session, now);
  host.known = true;
  host.up = true;
  host.counter = report.counter;
  host.address = report.address;
  if (report.notice !== null) {
    const takenAt = (now + report.notice) as Steady;
    if (host.takenAt === null) told.changed = true;
    host.takenAt = host.takenAt === null || takenAt < host.takenAt ? takenAt : host.takenAt;
  }
  if (newSession) host.ended.clear();
}

function takeAttempts(
  host: Host,
  report: Report,
  current: ReadonlyMap<string, Task>,
  jobs: JobStore,
  token: Token,
  told: Told,
  now: Steady,
): void {
  const strays: Attempt[] = [];
  for (const attempt of report.attempts) {
    const key = attemptKey(attempt);
    const task = current.get(key);
    if (task) show(host, task, attempt, now, told);
    else if (attempt.state !== 'exited') strays.push(attempt);
    else if (!host.ended.has(key)) host.ended.set(key, endedStray(attempt, jobs, token));
  }
  host.strays = strays;
}

function provenGone(task: Task, report: Report): boolean {
  // Orders of earlier epochs are refused by a worker that has seen ours.
  if (task.inherited) return true;
  // No order has left yet; it will, unless it is to be killed.
  if (task.sentSession === null) return task.kill !== null;
  // Orders of an earlier session are refused, and the session's tasks were killed.
  if (report.session > task.sentSession) return true;
  // Every run order that left, and every copy of one, is refused from now on.
  return task.sentToken === null || report.token > task.sentToken;
}

function show(host: Host, task: Task, attempt: Attempt, now: Steady, told: Told): void {
  task.inherited = false;
  task.sentSession ??= host.session;
  if (attempt.state === 'exited') {
    exit(host, task, attempt, now, told);
    return;
  }
  if (attempt.state === 'running' && task.shown !== 'running') {
    task.runningAt ??= now;
    told.started.push(task);
    host.keepImage(task.job.spec.image, task.job.spec.imageGb);
  }
  task.shown = attempt.state;
}

function exit(host: Host, task: Task, attempt: Attempt, now: Steady, told: Told): void {
  const ranMs = task.runningAt === null ? null : now - task.runningAt;
  const { sentToken } = task;
  host.drop(task);
  told.changed = true;
  if (attempt.cause === 'done') {
    host.keepImage(task.job.spec.image, task.job.spec.imageGb);
    host.failures = 0;
    host.failedJobs.clear();
    task.job.finish(task, now);
    told.finished.push({ task, ranMs });
  } else {
    task.job.release(task, now);
    told.failed.push({ task, cause: attempt.cause });
  }
  const chunk = task.job.chunkOf(task.index);
  const ended: EndedAttempt = {
    task: attempt.task,
    tryNo: attempt.tryNo,
    chunk,
    version: chunk.version,
    sentToken,
  };
  host.ended.set(attemptKey(attempt), ended);
}

/**
 * An ended attempt that is not the current one of its task: nothing of it is still wanted. What run
 * orders it had is not known any more: any of ours may have been one.
 */
function endedStray(attempt: Attempt, jobs: JobStore, sentToken: Token): EndedAttempt {
  const id = splitTaskId(attempt.task);
  const job = id ? jobs.get(id.job) : undefined;
  const chunk = job && id ? job.chunkOf(id.index) : null;
  return {
    task: attempt.task,
    tryNo: attempt.tryNo,
    chunk,
    version: chunk?.version ?? 0,
    sentToken,
  };
}

function lose(host: Host, task: Task, now: Steady, told: Told): void {
  host.drop(task);
  task.job.release(task, now);
  told.lost.push(task);
  told.changed = true;
}

/** The host and everything on it is proven gone. */
export function loseAll(host: Host, now: Steady): Task[] {
  const lost: Task[] = [];
  for (const task of [...host.tasks]) {
    // A start that is still being committed keeps its place: dropped here it would, once committed, be
    // ordered by nobody and proven gone by nobody, and its job would wait for ever.
    if (task.phase !== 'placed') continue;
    host.drop(task);
    task.job.release(task, now);
    lost.push(task);
  }
  return lost;
}
