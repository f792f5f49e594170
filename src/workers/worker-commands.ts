/** Derives the commands that a worker needs from its last heartbeat and from start commands that may still arrive. */
import { type Epoch, type JobId, parseTaskId, type FencingToken } from '../model/ids.js';
import type { WorkerCommand, Heartbeat } from '../model/heartbeat.js';
import type { MonotonicTime } from '../model/time.js';
import type { Task } from '../scheduler/task.js';
import type { EndedAttempt, Worker } from './state/worker.js';

/**
 * How long after the cancellation a task whose start command may still arrive is tombstoned. If the task is not proven
 * gone, `JobCanceller` fences its machine.
 */
const TOMBSTONE_MAX_AGE_MS = 15_000;

/**
 * Returns the commands that a worker needs now, with stop commands and tombstones before the start commands of other
 * tasks. Without a valid leader lease, these are only stop commands for cancelled tasks.
 *
 * A task whose start command may have been sent is never just dropped, since a delayed start command would start the
 * abandoned task. To stop such a task before a heartbeat has shown it, a start and a stop command are sent together as
 * a tombstone: the worker then lists the attempt as ended, and a delayed start command has no effect.
 */
export function commandsFor(worker: Worker, now: MonotonicTime, isLeaseValid: boolean): WorkerCommand[] {
  if (!isLeaseValid) return stopCommandsWithoutLease(worker);
  return [
    ...worker.unassignedAttempts.map(({ task, attemptNumber }): WorkerCommand => ({
      kind: 'stop',
      task,
      attemptNumber,
      graceS: 0,
    })),
    ...[...worker.tasks].flatMap((task) => stopCommandsFor(task, now)),
    ...[...worker.tasks]
      .filter(needsStart)
      .map((task): WorkerCommand => ({ kind: 'start', task: task.id, attemptNumber: task.attemptNumber })),
  ];
}

/**
 * Returns the commands that are allowed without a valid leader lease: stop commands for cancelled tasks, which are safe
 * whichever controller leads. In particular, no start command is allowed.
 */
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
  if (pendingStop.reason === 'cancelled' && now - pendingStop.since > TOMBSTONE_MAX_AGE_MS) return [];
  return [{ kind: 'start', task: id, attemptNumber }, stop];
}

function needsStart({ phase, pendingStop, observedState, isInherited }: Task): boolean {
  return phase === 'placed' && pendingStop === null && observedState === null && !isInherited;
}

/**
 * Returns stop commands for a heartbeat's unexited attempts of cancelled jobs, whichever leader started the attempts.
 */
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
 * Whether a start command of a cancelled task may still arrive at the worker and must be fenced by a higher token.
 *
 * Without a valid lease, a leader sends no tombstone. The worker adopts a higher token from the answer to its heartbeat
 * and refuses the start command.
 */
export function mustFenceLateStarts(worker: Worker, epoch: Epoch): boolean {
  const token = worker.fencingToken(epoch);
  for (const { phase, pendingStop, observedState, startSentToken } of worker.tasks) {
    if (phase !== 'placed' || pendingStop?.reason !== 'cancelled' || observedState !== null) continue;
    if (startSentToken !== null && startSentToken >= token) return true;
  }
  return false;
}

/** Returns the ended attempts whose outcome is durable or needs no write, so that the worker may forget them. */
function durableEndedAttempts(worker: Worker): EndedAttempt[] {
  return [...worker.endedAttempts.values()].filter(
    ({ chunk, version }) => !chunk || chunk.isDurable(version),
  );
}

/**
 * Returns the forget commands that may be sent under `token`.
 *
 * Forget commands are sent only in answers to heartbeats, and only under a higher token than every start command of the
 * attempt. A worker keeps no state of an attempt that it forgets, so a delayed or duplicated start command would start
 * the attempt again. The worker adopts the higher token together with the forget command and refuses such a start.
 */
export function forgetCommandsFor(worker: Worker, token: FencingToken): WorkerCommand[] {
  return durableEndedAttempts(worker)
    .filter(({ startSentToken }) => startSentToken === null || startSentToken < token)
    .map(({ task, attemptNumber }) => ({ kind: 'forget', task, attemptNumber }));
}

/** Whether the worker's fencing token must be raised before its heartbeat is answered. */
export function mustRaiseFence(worker: Worker, token: FencingToken): boolean {
  // A raised token would make the worker refuse the commands in flight; the token can be raised at the next heartbeat.
  if (worker.commandCall.isInFlight) return false;
  return (
    worker.fence.needsHigherToken ||
    durableEndedAttempts(worker).some(
      ({ startSentToken }) => startSentToken !== null && startSentToken >= token,
    )
  );
}

/** Records, for each start command, the incarnation of the first and the token of the last sending. */
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
