import type { LeaderContext } from '../core/context.js';
import { type Millis, ms, type MonotonicTime, since } from '../model/time.js';
import type { Worker } from './state/worker.js';

/** A healthy worker's heartbeats lie up to a quarter more than `report_s` apart (PROTOCOL). */
const MAX_INTERVAL_FACTOR = 1.25;
/** A heartbeat's way here. */
const TRANSIT_MS = 250;
/** How long a worker waits for an answer before it tries another controller (PROTOCOL). */
const WORKER_ANSWER_TIMEOUT_MS = 5000;

/** Decides how long a worker may be silent, or heard and not reached, before it is suspected to have failed. */
export class HeartbeatTimeouts {
  /** Heartbeats that take longer than this are overdue. */
  private readonly silenceTimeout: Millis;
  /** One change of controller and two heartbeats: by then an answered worker has shown that it is. */
  private readonly contactTimeout: Millis;

  constructor(private readonly ctx: Pick<LeaderContext, 'operators' | 'settings' | 'startedAt'>) {
    const { silenceTimeout } = ctx.operators.workers;
    this.silenceTimeout =
      silenceTimeout ?? ms(ctx.settings.heartbeatInterval * MAX_INTERVAL_FACTOR + TRANSIT_MS);
    this.contactTimeout = ms(2 * this.silenceTimeout + WORKER_ANSWER_TIMEOUT_MS);
  }

  /** The time since the last heartbeat. */
  silenceOf(worker: Worker, now: MonotonicTime): Millis {
    // A worker that holds a predecessor's tasks and was never heard from counts from the takeover.
    return since(now, worker.contact.lastHeartbeatAt ?? this.ctx.startedAt);
  }

  /** Whether the worker's next heartbeat should have arrived. */
  isOverdue(worker: Worker, now: MonotonicTime): boolean {
    return this.silenceOf(worker, now) > this.silenceTimeout;
  }

  /** Whether the worker is overdue, or heard without a sign that our answers arrive. */
  isSuspected(worker: Worker, now: MonotonicTime): boolean {
    if (this.isOverdue(worker, now)) return true;
    const { contact } = worker;
    const lastContactAt = contact.lastContactAt ?? contact.firstHeartbeatAt ?? this.ctx.startedAt;
    return since(now, lastContactAt) > this.contactTimeout;
  }
}
