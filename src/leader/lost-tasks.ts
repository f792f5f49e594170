import type { LeaderContext } from '../core/context.js';
import { releaseAllTasks } from '../workers/reconciliation.js';
import type { Worker } from '../workers/state/worker.js';
import type { Committer } from './committer.js';

/** How many task ids a log line names. */
const MAX_LOGGED_TASKS = 4;

/** Releases the tasks of workers that can no longer run them, so that they are placed again. */
export class LostTaskReleaser {
  constructor(
    private readonly ctx: LeaderContext,
    private readonly committer: Committer,
  ) {}

  /** The machine, and everything on it, is proven gone. */
  onMachineGone(worker: Worker): void {
    const lost = releaseAllTasks(worker, this.ctx.clock.now());
    if (lost.length > 0) {
      const taskIds = lost.slice(0, MAX_LOGGED_TASKS).map((task) => task.id);
      this.ctx.log.info(
        { machine: worker.id, tasks: lost.length, taskIds },
        'tasks of a gone machine released',
      );
    }
    this.committer.schedule();
  }

  /** The worker's lease has expired: it has stopped its tasks by itself. */
  onLeaseExpired(worker: Worker): void {
    const lost = releaseAllTasks(worker, this.ctx.clock.now());
    if (lost.length === 0) return;
    this.ctx.log.info({ machine: worker.id, tasks: lost.length }, 'worker lease expired');
    this.ctx.requestDecision();
  }
}
