import { type Millis, ms, type MonotonicTime, since } from '../model/time.js';
import type { FailureDetectionContext } from './failure-detection-context.js';
import type { Worker } from './state/worker.js';

/** The longest interval between two heartbeats of a healthy worker, as a multiple of `report_s` (PROTOCOL). */
const MAX_HEARTBEAT_INTERVAL_RATIO = 1.25;
/** The network delay of a heartbeat that the silence timeout allows for. */
const MAX_HEARTBEAT_TRANSIT_MS = 250;
/** How long a worker waits for an answer to its heartbeat before it switches to another controller (PROTOCOL). */
const WORKER_ANSWER_TIMEOUT_MS = 5000;

/** Decides whether a worker is suspected, either because its heartbeats are overdue or because no answer reaches it. */
export class HeartbeatTimeouts {
  /** The time since the last heartbeat after which the next heartbeat is overdue. */
  private readonly silenceTimeout: Millis;
  /**
   * The time without a recorded delivery after which a worker is suspected. The timeout covers one switch of controller
   * and two heartbeats: within that time, a worker that receives answers has shown so.
   */
  private readonly deliveryTimeout: Millis;

  constructor(private readonly ctx: Pick<FailureDetectionContext, 'operators' | 'settings' | 'startedAt'>) {
    const { silenceTimeout } = ctx.operators.workers;
    this.silenceTimeout =
      silenceTimeout ??
      ms(ctx.settings.heartbeatInterval * MAX_HEARTBEAT_INTERVAL_RATIO + MAX_HEARTBEAT_TRANSIT_MS);
    this.deliveryTimeout = ms(2 * this.silenceTimeout + WORKER_ANSWER_TIMEOUT_MS);
  }

  /** Returns the time since the worker's last heartbeat. */
  timeSinceHeartbeat(worker: Worker, now: MonotonicTime): Millis {
    // The silence of a worker that has sent no heartbeat to this leader counts from the takeover.
    return since(now, worker.contact.lastHeartbeatAt ?? this.ctx.startedAt);
  }

  /** Whether the worker's next heartbeat should have arrived. */
  isOverdue(worker: Worker, now: MonotonicTime): boolean {
    return this.timeSinceHeartbeat(worker, now) > this.silenceTimeout;
  }

  /** Whether the worker's heartbeat is overdue, or no delivery to it has been recorded for `deliveryTimeout`. */
  isSuspected(worker: Worker, now: MonotonicTime): boolean {
    if (this.isOverdue(worker, now)) return true;
    const { contact } = worker;
    const deliveryTimeoutStart = contact.lastDeliveryAt ?? contact.firstHeartbeatAt ?? this.ctx.startedAt;
    return since(now, deliveryTimeoutStart) > this.deliveryTimeout;
  }
}
