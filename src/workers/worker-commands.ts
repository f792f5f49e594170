import { type Epoch, type JobId, parseTaskId, type FencingToken } from '../model/ids.js';
import type { WorkerCommand, Heartbeat } from '../model/heartbeat.js';
import type { MonotonicTime } from '../model/time.js';
import type { Task } from '../scheduler/task.js';
import type { EndedAttempt, Worker } from './state/worker.js';

/** A cancelled task whose start may be on its way is tombstoned only this long; then its host is fenced. */
const TOMBSTONE_MS = 15_000;

/**
 * The orders that a host needs now, by what it last showed.
 *
 * A `run` that may have left is never simply dropped: a late one would start a task that we had
 * given up on. When such a task has to go, `run` and `kill` leave together: the attempt then
 * stands as ended on the host, and a late `run` does nothing.
 */
export function commandsFor(worker: Worker, now: MonotonicTime, sure: boolean): WorkerCommand[] {
  if (!sure) return stopCommandsWithoutLease(worker);
  return [
    ...worker.unwantedAttempts.map(({ task, attemptNumber }): WorkerCommand => ({
      kind: 'stop',
      task,
      attemptNumber,
      graceS: 0,
    })),
    ...[...worker.tasks].flatMap((task) => stopCommandsFor(task, now)),
    ...[...worker.tasks]
      .filter(mayRun)
      .map((task): WorkerCommand => ({ kind: 'start', task: task.id, attemptNumber: task.attemptNumber })),
  ];
}

/** A cancelled task is of no use whoever leads; nothing else is ordered without being sure, no start above all. */
function stopCommandsWithoutLease(worker: Worker): WorkerCommand[] {
  return [...worker.tasks]
    .filter(
      ({ phase, pendingStop, observedState }) =>
        phase === 'placed' && pendingStop?.reason === 'cancelled' && observedState !== null,
    )
    .map((task) => ({ kind: 'stop', task: task.id, attemptNumber: task.attemptNumber, graceS: 0 }));
}

function stopCommandsFor(task: Task, now: MonotonicTime): WorkerCommand[] {
  const { id, attemptNumber, phase, pendingStop, observedState, startSentIncarnation } = task;
  if (phase !== 'placed' || !pendingStop) return [];
  const stop: WorkerCommand = { kind: 'stop', task: id, attemptNumber, graceS: pendingStop.graceS };
  if (observedState !== null) return [stop];
  if (startSentIncarnation === null) return [];
  if (pendingStop.reason === 'cancelled' && now - pendingStop.since > TOMBSTONE_MS) return [];
  return [{ kind: 'start', task: id, attemptNumber }, stop];
}

function mayRun({ phase, pendingStop, observedState, isInherited }: Task): boolean {
  return phase === 'placed' && pendingStop === null && observedState === null && !isInherited;
}

/** Kills for what a report shows of cancelled jobs, whoever started it. */
export function stopCommandsForCancelled(
  heartbeat: Heartbeat,
  cancelled: (id: JobId) => boolean,
): WorkerCommand[] {
  const commands: WorkerCommand[] = [];
  for (const { task, attemptNumber, state } of heartbeat.attempts) {
    const id = state === 'exited' ? null : parseTaskId(task);
    if (id && cancelled(id.job)) commands.push({ kind: 'stop', task, attemptNumber, graceS: 0 });
  }
  return commands;
}

/**
 * Whether a start of a cancelled task may still be on its way to the host. Who is not sure orders no
 * tombstone; a higher token, which the worker takes over with the answer, makes it refuse such a start.
 */
export function mustFenceLateStarts(worker: Worker, epoch: Epoch): boolean {
  const token = worker.fencingToken(epoch);
  for (const { phase, pendingStop, observedState, startSentToken } of worker.tasks) {
    if (phase !== 'placed' || pendingStop?.reason !== 'cancelled' || observedState !== null) continue;
    if (startSentToken !== null && startSentToken >= token) return true;
  }
  return false;
}

/** Ended attempts whose outcome is durable: the worker need not keep them. */
function durableEndedAttempts(worker: Worker): EndedAttempt[] {
  return [...worker.endedAttempts.values()].filter(
    ({ chunk, version }) => !chunk || chunk.isDurable(version),
  );
}

/**
 * `clear` leaves only in report answers, and only under a higher token than any that a run order of
 * the attempt left with. A worker forgets what it clears: a run order that arrives afterwards, late
 * or as a copy of one that was carried out, would start the attempt again. Under the higher token,
 * which the worker takes over with the `clear` itself, it is refused.
 */
export function forgetCommandsFor(worker: Worker, token: FencingToken): WorkerCommand[] {
  return durableEndedAttempts(worker)
    .filter(({ startSentToken }) => startSentToken === null || startSentToken < token)
    .map(({ task, attemptNumber }) => ({ kind: 'forget', task, attemptNumber }));
}

/** Whether the host's token should be raised before it is answered. */
export function mustRaiseFence(worker: Worker, token: FencingToken): boolean {
  // Orders on their way would be refused: the next report is soon enough.
  if (worker.commandInFlight) return false;
  return (
    worker.needsHigherToken ||
    durableEndedAttempts(worker).some(
      ({ startSentToken }) => startSentToken !== null && startSentToken >= token,
    )
  );
}

/** Remembers which run orders leave, in which session and with which token. */
export function markStartsSent(
  worker: Worker,
  commands: readonly WorkerCommand[],
  token: FencingToken,
): void {
  const runs = new Set<string>();
  for (const command of commands) if (command.kind === 'start') runs.add(command.task);
  if (runs.size === 0) return;
  for (const task of worker.tasks) {
    if (!runs.has(task.id)) continue;
    task.startSentIncarnation ??= worker.incarnation;
    task.startSentToken = token;
  }
}
