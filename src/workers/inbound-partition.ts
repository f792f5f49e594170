import { type Millis, type MonotonicTime, plus, since } from '../model/time.js';
import type { FailureDetectionContext } from './failure-detection-context.js';
import type { HeartbeatTimeouts } from './heartbeat-timeouts.js';

/** The number of missed heartbeats, of all workers together, after which the leader assumes an inbound partition. */
const MISSED_HEARTBEAT_COUNT = 40;
/** The lower bound on the time without heartbeats after which an inbound partition is assumed. */
const MIN_SILENCE_MS = 2000;
/** The upper bound on the time without heartbeats after which an inbound partition is assumed. */
const MAX_SILENCE_MS = 7000;
/** The minimum ratio of workers with overdue heartbeats for an inbound partition, from the first heartbeat on. */
const MIN_OVERDUE_WORKER_RATIO = 0.03;

/** Detects an inbound partition, in which the leader receives no heartbeats from any worker. */
export class InboundPartitionDetector {
  private lastHeartbeatAt: MonotonicTime;
  private hasReceivedHeartbeat = false;

  constructor(
    private readonly ctx: Pick<FailureDetectionContext, 'settings' | 'startedAt' | 'workers'>,
    private readonly timeouts: HeartbeatTimeouts,
  ) {
    this.lastHeartbeatAt = ctx.startedAt;
  }

  /** Records a heartbeat of any worker. */
  recordHeartbeat(now: MonotonicTime): void {
    this.lastHeartbeatAt = now;
    this.hasReceivedHeartbeat = true;
  }

  /** Excludes from the silence a time during which this process was delayed and could not receive heartbeats. */
  recordDelay(delay: Millis): void {
    this.lastHeartbeatAt = plus(this.lastHeartbeatAt, delay);
  }

  /**
   * Whether an inbound partition is assumed: no heartbeat has arrived for the time in which `MISSED_HEARTBEAT_COUNT`
   * heartbeats were due, bounded by `MIN_SILENCE_MS` and `MAX_SILENCE_MS`, and `MIN_OVERDUE_WORKER_RATIO` is reached.
   * False with fewer than two workers that are up or have tasks.
   */
  isPartitioned(now: MonotonicTime): boolean {
    let up = 0;
    let overdue = 0;
    for (const worker of this.ctx.workers.values()) {
      if (!worker.isUp && worker.isEmpty) continue;
      up++;
      if (this.timeouts.isOverdue(worker, now)) overdue++;
    }
    if (up < 2) return false;
    // After a takeover, the workers may send their heartbeats at the same times, with no heartbeats in between.
    if (this.hasReceivedHeartbeat && overdue < up * MIN_OVERDUE_WORKER_RATIO) return false;
    const missedHeartbeatsMs = (this.ctx.settings.heartbeatInterval / up) * MISSED_HEARTBEAT_COUNT;
    const maxSilence = Math.min(MAX_SILENCE_MS, Math.max(MIN_SILENCE_MS, missedHeartbeatsMs));
    return since(now, this.lastHeartbeatAt) > maxSilence;
  }
}
