/** Selects the workers connected to a busy leader that should connect to another controller. */
import type { MachineId, MemberId } from '../model/ids.js';
import { MIN_DELEGATION_LOAD_RATIO } from '../model/load.js';
import { type Clock, type MonotonicTime, since } from '../model/time.js';

/**
 * The time after a redirect during which a worker is not redirected again. A worker that returns within this time was
 * not served by the other controller and stays. The time is well above any worker's lease, because a worker that was
 * redirected back and forth within a lease would lose its tasks.
 */
const REDIRECT_INTERVAL_MS = 120_000;

/** Redirects workers to the other controllers round-robin and records each redirect for `REDIRECT_INTERVAL_MS`. */
export class WorkerRedirects {
  private readonly redirectedAtByWorker = new Map<MachineId, MonotonicTime>();
  private lastTargetIndex = 0;

  constructor(
    private readonly clock: Clock,
    private readonly load: () => number,
  ) {}

  /** Returns the controller to which the worker should connect; null: the worker stays with this controller. */
  targetFor(worker: MachineId, candidates: readonly MemberId[]): MemberId | null {
    if (candidates.length === 0 || this.load() < MIN_DELEGATION_LOAD_RATIO) return null;
    const now = this.clock.now();
    this.removeExpired(now);
    if (this.redirectedAtByWorker.has(worker)) return null;
    this.redirectedAtByWorker.set(worker, now);
    this.lastTargetIndex = (this.lastTargetIndex + 1) % candidates.length;
    return candidates[this.lastTargetIndex] ?? null;
  }

  /** Removes expired redirects, which come first because the map is ordered by the time of the redirect. */
  private removeExpired(now: MonotonicTime): void {
    for (const [worker, at] of this.redirectedAtByWorker) {
      if (since(now, at) < REDIRECT_INTERVAL_MS) return;
      this.redirectedAtByWorker.delete(worker);
    }
  }
}
