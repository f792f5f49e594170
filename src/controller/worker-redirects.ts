/** Which of the workers that report to a busy leader should report through another controller. */
import type { MachineId, MemberId } from '../model/ids.js';
import { DELEGATION_LOAD } from '../model/load.js';
import { type Clock, type MonotonicTime, since } from '../model/time.js';

/**
 * A worker that is back so soon was not served there, and stays. Well over any lease: sent to and fro within one, a
 * worker would lose its tasks.
 */
const SENT_AWAY_ONCE_MS = 120_000;

/** Remembers whom it has sent away, each for a while. */
export class WorkerRedirects {
  private readonly sentAway = new Map<MachineId, MonotonicTime>();
  private turn = 0;

  constructor(
    private readonly clock: Clock,
    private readonly load: () => number,
  ) {}

  /** The controller that the worker should report to; null: this one. */
  target(host: MachineId, others: readonly MemberId[]): MemberId | null {
    if (others.length === 0 || this.load() < DELEGATION_LOAD) return null;
    const now = this.clock.now();
    this.forget(now);
    if (this.sentAway.has(host)) return null;
    this.sentAway.set(host, now);
    this.turn = (this.turn + 1) % others.length;
    return others[this.turn] ?? null;
  }

  /** The oldest come first. */
  private forget(now: MonotonicTime): void {
    for (const [host, at] of this.sentAway) {
      if (since(now, at) < SENT_AWAY_ONCE_MS) return;
      this.sentAway.delete(host);
    }
  }
}
