/** Decides which of the workers that are with a busy leader should be with another controller. */
import type { MachineId, MemberId } from '../model/ids.js';
import { DELEGATION_LOAD } from '../model/load.js';
import { type Clock, type MonotonicTime, since } from '../model/time.js';

/**
 * A worker that is back within this was not served there, and stays. Well over any lease: redirected to and fro within
 * one, a worker would lose its tasks.
 */
const REDIRECT_INTERVAL_MS = 120_000;

/** Redirects workers to the other controllers in turn, and remembers each for a while. */
export class WorkerRedirects {
  private readonly redirectedAt = new Map<MachineId, MonotonicTime>();
  private lastTarget = 0;

  constructor(
    private readonly clock: Clock,
    private readonly load: () => number,
  ) {}

  /** The controller that the worker should be with; null: this one. */
  targetFor(worker: MachineId, others: readonly MemberId[]): MemberId | null {
    if (others.length === 0 || this.load() < DELEGATION_LOAD) return null;
    const now = this.clock.now();
    this.dropExpired(now);
    if (this.redirectedAt.has(worker)) return null;
    this.redirectedAt.set(worker, now);
    this.lastTarget = (this.lastTarget + 1) % others.length;
    return others[this.lastTarget] ?? null;
  }

  /** The oldest come first. */
  private dropExpired(now: MonotonicTime): void {
    for (const [worker, at] of this.redirectedAt) {
      if (since(now, at) < REDIRECT_INTERVAL_MS) return;
      this.redirectedAt.delete(worker);
    }
  }
}
