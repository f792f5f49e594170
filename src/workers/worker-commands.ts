/** What commands a worker needs, by what its last heartbeat showed and by what is known of late copies. */
import { type Epoch, type JobId, parseTaskId, type FencingToken } from '../model/ids.js';
import type { WorkerCommand, Heartbeat } from '../model/heartbeat.js';
import type { MonotonicTime } from '../model/time.js';
import type { Task } from '../scheduler/task.js';
import type { EndedAttempt, Worker } from './state/worker.js';

/** A cancelled task whose start may be on its way is tombstoned only this long; then its machine is fenced. */
const TOMBSTONE_MS = 15_000;

/**
 * Returns the commands that a worker needs now: stops first, then starts.
 *
 * A start that may have left is never simply dropped: a late one would start a task that we had
 * given up on. When such a task has to go, start and stop leave together as its tombstone: the attempt then
 * stands as ended on the machine, and a late start does nothing.
 */
export function commandsFor(worker: Worker, now: MonotonicTime, isLeaseValid: boolean): WorkerCommand[] {
  if (!isLeaseValid) return stopCommandsWithoutLease(worker);
  return [
    ...worker.unwantedAttempts.map(({ task, attemptNumber }): WorkerCommand => ({
      kind: 'stop',
      task,
      attemptNumber,
      graceS: 0,
    })),
    ...[...worker.tasks].flatMap((task) => stopCommandsFor(task, now)),
    ...[...worker.tasks]
      .filter(mayStart)
      .map((task): WorkerCommand => ({ kind: 'start', task: task.id, attemptNumber: task.attemptNumber })),
  ];
}

/** A cancelled task is of no use whoever leads; without a valid lease nothing else is commanded, no start above all. */
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

function mayStart({ phase, pendingStop, observedState, isInherited }: Task): boolean {
  return phase === 'placed' && pendingStop === null && observedState === null && !isInherited;
}

/** Returns stops for what a heartbeat shows of cancelled jobs, whoever started it. */
export function stopCommandsForCancelled(
  heartbeat: Heartbeat,
  isCancelled: (id: JobId) => boolean,
): WorkerCommand[] {
  const commands: WorkerCommand[] = [];
  for (const { task, attemptNumber, state } of heartbeat.attempts) {
    const id = state === 'exited' ? null : parseTaskId(task);
    if (id && isCancelled(id.job)) commands.push({ kind: 'stop', task, attemptNumber, graceS: 0 });
  }
  return commands;
}

/**
 * Whether a start of a cancelled task may still be on its way to the worker. Without a valid lease a leader sends no
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

/** Returns the ended attempts whose outcome is durable: the worker need not keep them. */
function durableEndedAttempts(worker: Worker): EndedAttempt[] {
  return [...worker.endedAttempts.values()].filter(
    ({ chunk, version }) => !chunk || chunk.isDurable(version),
  );
}

/**
 * Returns the forget commands that may leave under `token`.
 *
 * They leave only in answers to heartbeats, and only under a higher token than any that a start command of
 * the attempt left with. A worker keeps nothing of what it forgets: a start command that arrives afterwards, late
 * or as a copy of one that was carried out, would start the attempt again. Under the higher token,
 * which the worker takes over with the forget command itself, it is refused.
 */
export function forgetCommandsFor(worker: Worker, token: FencingToken): WorkerCommand[] {
  return durableEndedAttempts(worker)
    .filter(({ startSentToken }) => startSentToken === null || startSentToken < token)
    .map(({ task, attemptNumber }) => ({ kind: 'forget', task, attemptNumber }));
}

/** Whether the worker's fencing token should be raised before its heartbeat is answered. */
export function mustRaiseFence(worker: Worker, token: FencingToken): boolean {
  // Commands on their way would be refused: the next heartbeat is soon enough.
  if (worker.pendingCommands.isInFlight) return false;
  return (
    worker.fence.needsHigherToken ||
    durableEndedAttempts(worker).some(
      ({ startSentToken }) => startSentToken !== null && startSentToken >= token,
    )
  );
}

/** Records which start commands leave, for which incarnation and with which token. */
export function markStartsSent(
  worker: Worker,
  commands: readonly WorkerCommand[],
  token: FencingToken,
): void {
  const startedTasks = new Set<string>();
  for (const command of commands) if (command.kind === 'start') startedTasks.add(command.task);
  if (startedTasks.size === 0) return;
  for (const task of worker.tasks) {
    if (!startedTasks.has(task.id)) continue;
    task.startSentIncarnation ??= worker.incarnation;
    task.startSentToken = token;
  }
}
