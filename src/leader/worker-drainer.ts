/** Stops the tasks on machines that are reclaimed by the cloud or are to be returned. */
import type { MachineId } from '../model/ids.js';
import type { MonotonicTime } from '../model/time.js';
import type { Task } from '../scheduler/task.js';
import type { CommandDispatcher } from '../workers/command-dispatcher.js';
import type { Worker } from '../workers/state/worker.js';
import type { LeaderContext } from '../core/context.js';

/** Time allowed for a command to reach the machine and for the answer to return. */
const COMMAND_ROUND_TRIP_S = 4;
/** Time that a checkpoint may take beyond the duration that the job specifies. */
const CHECKPOINT_MARGIN_S = 1;

/** Stops tasks in time to write a checkpoint, and contacts workers that have not reported yet in this term. */
export class WorkerDrainer {
  constructor(
    private readonly ctx: LeaderContext,
    private readonly dispatcher: CommandDispatcher,
  ) {}

  /** Checkpoints tasks on machines that the cloud reclaims, and contacts workers that have not reported yet. */
  tick(now: MonotonicTime): void {
    for (const worker of this.ctx.workers.values()) {
      if (worker.interruptionAt !== null) this.checkpointBeforeReclaim(worker, worker.interruptionAt, now);
      if (mustContact(worker)) this.dispatcher.dispatch(worker);
    }
  }

  /**
   * Cordons a worker and stops its placed tasks, which start again on other machines; does nothing if the worker is
   * unknown or already cordoned.
   */
  drain(id: MachineId): void {
    const worker = this.ctx.workers.get(id);
    if (!worker || worker.cordon) return;
    worker.cordon = 'draining';
    const now = this.ctx.clock.now();
    for (const task of worker.tasks) if (canStop(task)) stopForDrain(task, now);
    this.dispatcher.dispatch(worker);
  }

  /** Stops tasks that can write checkpoints, just in time to write one before the cloud reclaims the machine. */
  private checkpointBeforeReclaim(worker: Worker, reclaimedAt: MonotonicTime, now: MonotonicTime): void {
    for (const task of worker.tasks) {
      const { checkpointIntervalS, checkpointWriteS } = task.job.spec;
      if (!canStop(task) || checkpointIntervalS === 0) continue;
      if (reclaimedAt - now >= (checkpointWriteS + COMMAND_ROUND_TRIP_S) * 1000) continue;
      stopForDrain(task, now);
      this.dispatcher.dispatch(worker);
    }
  }
}

/** Returns whether the worker has a known address, is probably running, and has not reported in this term. */
function mustContact(worker: Worker): boolean {
  if (worker.hasReported || worker.address === '') return false;
  return worker.isListedRunning || worker.isUp || !worker.isEmpty;
}

/** Returns whether the task is placed on the machine and has no pending stop. */
function canStop(task: Task): boolean {
  return task.phase === 'placed' && task.pendingStop === null;
}

function stopForDrain(task: Task, now: MonotonicTime): void {
  const { checkpointIntervalS, checkpointWriteS } = task.job.spec;
  const graceS = checkpointIntervalS > 0 ? checkpointWriteS + CHECKPOINT_MARGIN_S : 0;
  task.pendingStop = { graceS, reason: 'drain', since: now };
}
