/** Whether placement may start tasks on a machine and, if not, which state of the machine prevents it. */
import type { CordonReason, Worker } from './worker.js';

/**
 * The state that keeps tasks off a machine.
 *
 * - a `CordonReason`: the machine is cordoned.
 * - `not reported`: the worker has sent no heartbeat in this epoch.
 * - `interruption notice`: the cloud is about to reclaim the machine.
 * - `unreachable`: the last direct call failed, and nothing has shown since then that answers reach the worker.
 * - `facts unconfirmed`: the machine's type, zone or kind is not confirmed yet.
 */
export type UnschedulableReason =
  CordonReason | 'not reported' | 'interruption notice' | 'unreachable' | 'facts unconfirmed';

/** Returns why no task may start on the machine, whatever its free capacity; null: tasks may start. */
export function unschedulableReason(worker: Worker): UnschedulableReason | null {
  return worker.cordon ?? notReadyReason(worker);
}

/** Whether tasks could start on the machine if it was not cordoned. */
export function isReadyForTasks(worker: Worker): boolean {
  return notReadyReason(worker) === null;
}

function notReadyReason(worker: Worker): UnschedulableReason | null {
  if (!worker.hasReported) return 'not reported';
  if (worker.interruptionAt !== null) return 'interruption notice';
  if (worker.isUnreachable) return 'unreachable';
  return worker.confirmedFacts ? null : 'facts unconfirmed';
}
