import type { LeaderContext } from '../core/context.js';
import { type Millis, type MonotonicTime, plus, since } from '../model/time.js';
import type { HeartbeatTimeouts } from './heartbeat-timeouts.js';

/**
 * Hearing nobody for as long as so many heartbeats should have taken means that the fault is ours;
 * but within these bounds.
 */
const EXPECTED_HEARTBEATS = 40;
const MIN_SILENCE_MS = 2000;
const MAX_SILENCE_MS = 7000;
/** And so many machines must have let a heartbeat's time pass. */
const MIN_OVERDUE_SHARE = 0.03;

/** Notices when the leader itself receives nothing: an inbound partition. */
export class InboundPartitionDetector {
  private lastHeardAt: MonotonicTime;
  private hasHeardAny = false;

  constructor(
    private readonly ctx: Pick<LeaderContext, 'settings' | 'startedAt' | 'workers'>,
    private readonly timeouts: HeartbeatTimeouts,
  ) {
    this.lastHeardAt = ctx.startedAt;
  }

  /** A heartbeat was received, whoever sent it. */
  recordHeartbeat(now: MonotonicTime): void {
    this.lastHeardAt = now;
    this.hasHeardAny = true;
  }

  /** This process was held up for so long, and has not listened either. */
  recordDelay(delay: Millis): void {
    this.lastHeardAt = plus(this.lastHeardAt, delay);
  }

  /** Whether the leader hears none of the workers that are up. */
  isPartitioned(now: MonotonicTime): boolean {
    let up = 0;
    let overdue = 0;
    for (const worker of this.ctx.workers.values()) {
      if (!worker.isUp && worker.isEmpty) continue;
      up++;
      if (this.timeouts.isOverdue(worker, now)) overdue++;
    }
    if (up < 2) return false;
    // After a takeover all workers may report at the same moments, and between these nobody is heard.
    if (this.hasHeardAny && overdue < up * MIN_OVERDUE_SHARE) return false;
    const expected = (this.ctx.settings.heartbeatInterval / up) * EXPECTED_HEARTBEATS;
    const maxSilence = Math.min(MAX_SILENCE_MS, Math.max(MIN_SILENCE_MS, expected));
    return since(now, this.lastHeardAt) > maxSilence;
  }
}
