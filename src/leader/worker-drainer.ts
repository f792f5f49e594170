/** Ends work on machines that are to be empty: taken by the cloud, or given back. */
import type { HostId } from '../model/ids.js';
import type { Steady } from '../model/time.js';
import type { Task } from '../scheduler/task.js';
import type { Dispatcher } from '../workers/command-dispatcher.js';
import type { Host } from '../workers/state/worker.js';
import type { LeaderContext } from '../core/context.js';

/** An order's way to the machine, and its answer's back. */
const ORDER_WAY_S = 4;
/** What a task may take to save, above what its owner says. */
const SAVE_MARGIN_S = 1;

/** Stops tasks so that they can save, and brings orders that wait to machines that were not met yet. */
export class HostDrainer {
  constructor(
    private readonly ctx: LeaderContext,
    private readonly dispatcher: Dispatcher,
  ) {}

  /** Repeats what has not been carried out yet. */
  tick(now: Steady): void {
    for (const host of this.ctx.hosts.values()) {
      if (host.takenAt !== null) this.drainNoticed(host, host.takenAt, now);
      if (!host.known && host.address !== '' && (host.listed || host.up || !host.empty)) {
        this.dispatcher.wake(host);
      }
    }
  }

  /** The host is emptied: its work starts again elsewhere. */
  empty(id: HostId): void {
    const host = this.ctx.hosts.get(id);
    if (!host || host.closed) return;
    host.closed = 'emptying';
    const now = this.ctx.clock.now();
    for (const task of host.tasks) if (mayDrain(task)) drain(task, now);
    this.dispatcher.wake(host);
  }

  /** The cloud takes this machine: work that can save is stopped in time to do so. */
  private drainNoticed(host: Host, takenAt: Steady, now: Steady): void {
    for (const task of host.tasks) {
      const { checkpointS, saveS } = task.job.spec;
      if (!mayDrain(task) || checkpointS === 0) continue;
      if (takenAt - now >= (saveS + ORDER_WAY_S) * 1000) continue;
      drain(task, now);
      this.dispatcher.wake(host);
    }
  }
}

function mayDrain(task: Task): boolean {
  return task.phase === 'placed' && task.kill === null;
}

function drain(task: Task, now: Steady): void {
  const { checkpointS, saveS } = task.job.spec;
  const graceS = checkpointS > 0 ? saveS + SAVE_MARGIN_S : 0;
  task.kill = { graceS, why: 'drain', at: now };
}
