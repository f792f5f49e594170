/** Whether placement may start tasks on a machine and, if not, which state of the machine prevents it. */
import type { MonotonicTime } from '../../model/time.js';
import type { CordonReason, Worker } from './worker.js';

/**
 * The state that keeps tasks off a machine.
 *
 * - a `CordonReason`: the machine is cordoned.
 * - `not reported`: the worker has sent no heartbeat in this epoch.
 * - `interruption notice`: the cloud is about to reclaim the machine.
 * - `unreachable`: the last direct call failed, and nothing has shown since then that answers reach the worker.
 * - `facts unconfirmed`: the machine's type, zone or kind is not confirmed yet.
 * - `probation`: a task has failed on the machine, and only trial tasks may start (`FailureQuarantine`).
 */
export type UnschedulableReason =
  CordonReason | 'not reported' | 'interruption notice' | 'unreachable' | 'facts unconfirmed' | 'probation';

/** Returns why tasks may not start on the machine, whatever its free capacity; null: they may. */
export function unschedulableReason(worker: Worker, now: MonotonicTime): UnschedulableReason | null {
  return worker.cordon ?? notReadyReason(worker) ?? (worker.quarantine.isActive(now) ? 'probation' : null);
}

/** Whether a trial task may start on a machine that gets trial tasks only. */
export function acceptsTrialTask(worker: Worker, now: MonotonicTime): boolean {
  if (!worker.quarantine.acceptsTrial(worker.tasks, now) || worker.isRemoving) return false;
  return (worker.cordon === null || worker.cordon === 'failing') && notReadyReason(worker) === null;
}

function notReadyReason(worker: Worker): UnschedulableReason | null {
  if (!worker.hasReported) return 'not reported';
  if (worker.interruptionAt !== null) return 'interruption notice';
  if (worker.isUnreachable) return 'unreachable';
  return worker.confirmedFacts ? null : 'facts unconfirmed';
}
