/** Ends work on machines that are to be empty: taken by the cloud, or given back. */
import type { MachineId } from '../model/ids.js';
import type { MonotonicTime } from '../model/time.js';
import type { Task } from '../scheduler/task.js';
import type { CommandDispatcher } from '../workers/command-dispatcher.js';
import type { Worker } from '../workers/state/worker.js';
import type { LeaderContext } from '../core/context.js';

/** An order's way to the machine, and its answer's back. */
const ORDER_WAY_S = 4;
/** What a task may take to save, above what its owner says. */
const SAVE_MARGIN_S = 1;

/** Stops tasks so that they can save, and brings orders that wait to machines that were not met yet. */
export class WorkerDrainer {
  constructor(
    private readonly ctx: LeaderContext,
    private readonly dispatcher: CommandDispatcher,
  ) {}

  /** Repeats what has not been carried out yet. */
  tick(now: MonotonicTime): void {
    for (const worker of this.ctx.workers.values()) {
      if (worker.interruptionAt !== null) this.drainNoticed(worker, worker.interruptionAt, now);
      if (
        !worker.hasReported &&
        worker.address !== '' &&
        (worker.isListedRunning || worker.isUp || !worker.isEmpty)
      ) {
        this.dispatcher.dispatch(worker);
      }
    }
  }

  /** The host is emptied: its work starts again elsewhere. */
  drain(id: MachineId): void {
    const worker = this.ctx.workers.get(id);
    if (!worker || worker.cordon) return;
    worker.cordon = 'draining';
    const now = this.ctx.clock.now();
    for (const task of worker.tasks) if (mayDrain(task)) drain(task, now);
    this.dispatcher.dispatch(worker);
  }

  /** The cloud takes this machine: work that can save is stopped in time to do so. */
  private drainNoticed(worker: Worker, takenAt: MonotonicTime, now: MonotonicTime): void {
    for (const task of worker.tasks) {
      const { checkpointIntervalS, checkpointWriteS } = task.job.spec;
      if (!mayDrain(task) || checkpointIntervalS === 0) continue;
      if (takenAt - now >= (checkpointWriteS + ORDER_WAY_S) * 1000) continue;
      drain(task, now);
      this.dispatcher.dispatch(worker);
    }
  }
}

function mayDrain(task: Task): boolean {
  return task.phase === 'placed' && task.pendingStop === null;
}

function drain(task: Task, now: MonotonicTime): void {
  const { checkpointIntervalS, checkpointWriteS } = task.job.spec;
  const graceS = checkpointIntervalS > 0 ? checkpointWriteS + SAVE_MARGIN_S : 0;
  task.pendingStop = { graceS, reason: 'drain', since: now };
}
