import type { LeaderContext } from '../core/context.js';
import { releaseAllTasks } from '../workers/reconciliation.js';
import type { Worker } from '../workers/state/worker.js';
import type { Committer } from './committer.js';

/** Maximum number of task IDs in one log line. */
const MAX_LOGGED_TASK_COUNT = 4;

/** Releases the tasks of workers that can no longer run them, so that the tasks are placed again. */
export class LostTaskReleaser {
  constructor(
    private readonly ctx: LeaderContext,
    private readonly committer: Committer,
  ) {}

  /** Releases all tasks of a machine that certainly no longer exists. */
  onMachineGone(worker: Worker): void {
    const lostTasks = releaseAllTasks(worker, this.ctx.clock.now());
    if (lostTasks.length > 0) {
      const taskIds = lostTasks.slice(0, MAX_LOGGED_TASK_COUNT).map((task) => task.id);
      this.ctx.log.info(
        { machine: worker.id, tasks: lostTasks.length, taskIds },
        'tasks of a removed machine released',
      );
    }
    this.committer.schedule();
  }

  /**
   * Releases all tasks of a worker whose lease has expired; the worker has stopped the tasks when its lease expired.
   */
  onLeaseExpired(worker: Worker): void {
    const lostTasks = releaseAllTasks(worker, this.ctx.clock.now());
    if (lostTasks.length === 0) return;
    this.ctx.log.info({ machine: worker.id, tasks: lostTasks.length }, 'worker lease expired');
    this.ctx.requestDecision();
  }
}
