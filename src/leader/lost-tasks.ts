import type { LeaderContext } from '../core/context.js';
import { releaseAllTasks } from '../workers/reconciliation.js';
import type { Worker } from '../workers/state/worker.js';
import type { Committer } from './committer.js';

/** How many task ids a log line names. */
const MAX_LOGGED_TASK_COUNT = 4;

/** Releases the tasks of workers that can no longer run them, so that they are placed again. */
export class LostTaskReleaser {
  constructor(
    private readonly ctx: LeaderContext,
    private readonly committer: Committer,
  ) {}

  /** The machine, and everything on it, is proven gone. */
  onMachineGone(worker: Worker): void {
    const lostTasks = releaseAllTasks(worker, this.ctx.clock.now());
    if (lostTasks.length > 0) {
      const taskIds = lostTasks.slice(0, MAX_LOGGED_TASK_COUNT).map((task) => task.id);
      this.ctx.log.info(
        { machine: worker.id, tasks: lostTasks.length, taskIds },
        'tasks of a gone machine released',
      );
    }
    this.committer.schedule();
  }

  /** The worker's lease has expired: it has stopped its tasks by itself. */
  onLeaseExpired(worker: Worker): void {
    const lostTasks = releaseAllTasks(worker, this.ctx.clock.now());
    if (lostTasks.length === 0) return;
    this.ctx.log.info({ machine: worker.id, tasks: lostTasks.length }, 'worker lease expired');
    this.ctx.requestDecision();
  }
}
