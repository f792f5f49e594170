import type { LeaderContext } from '../core/context.js';
import type { Heartbeat } from '../model/heartbeat.js';
import { type MonotonicTime, since } from '../model/time.js';
import { NoSocketError } from '../net/http-client.js';
import { usableShare } from '../wire/settings.js';
import type { HeartbeatTimeouts } from './heartbeat-timeouts.js';
import type { Worker } from './state/worker.js';

/** A worker that has failed so many probes is held to have failed. */
const MAX_FAILED_PROBES = 2;
/** A probe that took so many times its timeout tells of our own process. */
const HELD_UP_FACTOR = 1.25;
/** The part of the direct calls that early probes may be. */
const EARLY_CALLS_SHARE = 0.5;
/** The part of our processor time that early probes may take, and what one takes; a busy leader makes none. */
const EARLY_PROCESSOR_SHARE = 0.1;
const PROBE_PROCESSOR_MS = 0.4;
/** The interval of `probeEarly`'s calls. */
const TICK_MS = 500;
const BUSY_LOAD = 0.75;

/** What a `WorkerProber` is made with. */
interface WorkerProberOptions {
  readonly timeouts: HeartbeatTimeouts;
  /** Called with the heartbeat that answers a probe. */
  readonly onAnswer: (worker: Worker, heartbeat: Heartbeat, now: MonotonicTime) => void;
}

/** Whether so many probes in a row brought no answer that the worker is held to have failed. */
export function hasFailedProbes(worker: Worker): boolean {
  return worker.probes.failedCount >= MAX_FAILED_PROBES;
}

/** Asks workers for a heartbeat in direct calls, a bounded number at once. */
export class WorkerProber {
  private inFlight = 0;
  private earlyInFlight = 0;
  private readonly maxEarlyPerTick: number;

  constructor(
    private readonly ctx: LeaderContext,
    private readonly options: WorkerProberOptions,
  ) {
    const processorMs = TICK_MS * usableShare(ctx.settings) * EARLY_PROCESSOR_SHARE;
    this.maxEarlyPerTick = Math.max(1, Math.floor(processorMs / PROBE_PROCESSOR_MS));
  }

  /** Probes a worker until it answers or has failed too many probes, unless that is under way. */
  probe(worker: Worker, onFinished?: () => void): void {
    if (worker.probes.isInProgress) return;
    if (worker.address === '') {
      worker.probes.recordFailure();
      return;
    }
    if (this.inFlight >= this.ctx.maxConcurrentWorkerCalls) return;
    worker.probes.isInProgress = true;
    this.inFlight++;
    void this.probeUntilDecided(worker).finally(() => {
      worker.probes.isInProgress = false;
      this.inFlight--;
      onFinished?.();
    });
  }

  /**
   * Probes those that were silent longest, before their heartbeats are overdue. A worker that hangs
   * rises to the head of the list. With every silent worker probed, the probes were estimated to
   * take a third of a leader's time on a tenth of a core, and heartbeats and decisions waited.
   */
  probeEarly(workers: Worker[], now: MonotonicTime): void {
    if (this.ctx.load() > BUSY_LOAD) return;
    const { timeouts } = this.options;
    workers.sort((one, other) => timeouts.silenceOf(other, now) - timeouts.silenceOf(one, now));
    for (const worker of workers.slice(0, this.maxEarlyPerTick)) this.probeOneEarly(worker);
  }

  private probeOneEarly(worker: Worker): void {
    const { maxConcurrentWorkerCalls } = this.ctx;
    const maxEarly = Math.max(1, maxConcurrentWorkerCalls * EARLY_CALLS_SHARE);
    if (worker.probes.isInProgress || this.earlyInFlight >= maxEarly) return;
    if (this.inFlight >= maxConcurrentWorkerCalls) return;
    this.earlyInFlight++;
    this.probe(worker, () => {
      this.earlyInFlight--;
    });
  }

  /** Probes follow each other at once: every second counts for the replicas on a dead machine. */
  private async probeUntilDecided(worker: Worker): Promise<void> {
    const heartbeatBefore = worker.contact.lastHeartbeatAt;
    while (!hasFailedProbes(worker) && !this.ctx.isEnded()) {
      const startedAt = this.ctx.clock.now();
      try {
        const heartbeat = await this.fetchHeartbeat(worker);
        if (!heartbeat || heartbeat.machine !== worker.id) throw new Error('not the probed worker');
        const now = this.ctx.clock.now();
        worker.contact.recordCallAnswered(now);
        this.options.onAnswer(worker, heartbeat, now);
        return;
      } catch (error) {
        if (!this.isWorkersFailure(error, startedAt)) return;
        if (!this.recordFailure(worker, heartbeatBefore)) return;
      }
    }
  }

  /**
   * The last probe, and any of an overdue worker, goes through the other controllers as well: a direct one that fails
   * may be a partition between the worker and us alone.
   */
  private fetchHeartbeat(worker: Worker): Promise<Heartbeat | null> {
    const isLast = worker.probes.failedCount === MAX_FAILED_PROBES - 1;
    return this.ctx.workerClient.fetchHeartbeat(
      worker.address,
      this.ctx.operators.workers.probeTimeout,
      isLast || this.options.timeouts.isOverdue(worker, this.ctx.clock.now()),
    );
  }

  private isWorkersFailure(error: unknown, startedAt: MonotonicTime): boolean {
    // Our own lack of sockets says nothing of the worker.
    if (error instanceof NoSocketError) return false;
    // Nor does a timeout that we noticed late: the answer may lie unread, as after a takeover.
    const { probeTimeout } = this.ctx.operators.workers;
    return since(this.ctx.clock.now(), startedAt) <= probeTimeout * HELD_UP_FACTOR;
  }

  /** Returns whether to probe on. */
  private recordFailure(worker: Worker, heartbeatBefore: MonotonicTime | null): boolean {
    worker.probes.recordFailure();
    const now = this.ctx.clock.now();
    const hasReported = worker.contact.lastHeartbeatAt !== heartbeatBefore;
    if (!hasReported || this.options.timeouts.isSuspected(worker, now)) return true;
    // It reports and is not reached: from now on its heartbeats alone tell whether it lives.
    worker.contact.recordCallFailed(now);
    worker.probes.reset();
    return false;
  }
}
