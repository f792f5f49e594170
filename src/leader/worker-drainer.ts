/** Stops the tasks on machines that are to become empty: reclaimed by the cloud, or returned to it. */
import type { MachineId } from '../model/ids.js';
import type { MonotonicTime } from '../model/time.js';
import type { Task } from '../scheduler/task.js';
import type { CommandDispatcher } from '../workers/command-dispatcher.js';
import type { Worker } from '../workers/state/worker.js';
import type { LeaderContext } from '../core/context.js';

/** The time for a command to reach the machine, and for its answer to come back. */
const COMMAND_ROUND_TRIP_S = 4;
/** The time that a checkpoint may take beyond what the job's owner says. */
const CHECKPOINT_MARGIN_S = 1;

/** Stops tasks so that they can write a checkpoint, and contacts machines that have not been heard yet. */
export class WorkerDrainer {
  constructor(
    private readonly ctx: LeaderContext,
    private readonly dispatcher: CommandDispatcher,
  ) {}

  /** Drains machines that the cloud reclaims, and dispatches to those that have not been heard yet. */
  tick(now: MonotonicTime): void {
    for (const worker of this.ctx.workers.values()) {
      if (worker.interruptionAt !== null) this.checkpointBeforeReclaim(worker, worker.interruptionAt, now);
      if (mustContact(worker)) this.dispatcher.dispatch(worker);
    }
  }

  /** Drains a worker: its tasks are stopped and start again elsewhere. */
  drain(id: MachineId): void {
    const worker = this.ctx.workers.get(id);
    if (!worker || worker.cordon) return;
    worker.cordon = 'draining';
    const now = this.ctx.clock.now();
    for (const task of worker.tasks) if (canStop(task)) stopForDrain(task, now);
    this.dispatcher.dispatch(worker);
  }

  /** Stops the tasks that can write a checkpoint in time to do so before the cloud takes the machine. */
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

/** Whether the worker is likely to run and has not been heard in this term. */
function mustContact(worker: Worker): boolean {
  if (worker.hasReported || worker.address === '') return false;
  return worker.isListedRunning || worker.isUp || !worker.isEmpty;
}

/** Whether the task is on the machine and not being stopped yet. */
function canStop(task: Task): boolean {
  return task.phase === 'placed' && task.pendingStop === null;
}

function stopForDrain(task: Task, now: MonotonicTime): void {
  const { checkpointIntervalS, checkpointWriteS } = task.job.spec;
  const graceS = checkpointIntervalS > 0 ? checkpointWriteS + CHECKPOINT_MARGIN_S : 0;
  task.pendingStop = { graceS, reason: 'drain', since: now };
}
