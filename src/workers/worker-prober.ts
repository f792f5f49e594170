import type { Heartbeat } from '../model/heartbeat.js';
import { type MonotonicTime, since } from '../model/time.js';
import { NoSocketError } from '../net/http-client.js';
import { usableCpuShare } from '../wire/settings.js';
import type { FailureDetectionContext } from './failure-detection-context.js';
import type { HeartbeatTimeouts } from './heartbeat-timeouts.js';
import type { Worker } from './state/worker.js';

/** The number of consecutive unanswered probes after which a worker counts as failed. */
const MAX_FAILED_PROBE_COUNT = 2;
/**
 * The multiple of the probe timeout beyond which a failed probe indicates a delay of this process, not of the worker.
 */
const LATE_TIMEOUT_RATIO = 1.25;
/** The maximum ratio of workers probed early at the same time to `maxConcurrentWorkerCalls`. */
const MAX_EARLY_PROBE_CALL_RATIO = 0.5;
/** The maximum ratio of this process's processor time that early probes may use. */
const MAX_EARLY_PROBE_CPU_RATIO = 0.1;
/** The processor time of one probe. */
const PROBE_CPU_MS = 0.4;
/** The interval between two calls of `probeEarly`. */
const TICK_INTERVAL_MS = 500;
/** The processor load of the leader above which no early probes are sent. */
const MAX_EARLY_PROBE_LOAD_RATIO = 0.75;

/** Collaborators and callbacks of a `WorkerProber`. */
interface WorkerProberOptions {
  readonly timeouts: HeartbeatTimeouts;
  /** Called with the heartbeat that answers a probe. */
  readonly onAnswer: (worker: Worker, heartbeat: Heartbeat, now: MonotonicTime) => void;
}

/** Whether the worker counts as failed because of consecutive unanswered probes. */
export function hasFailedProbes(worker: Worker): boolean {
  return worker.probes.failedCount >= MAX_FAILED_PROBE_COUNT;
}

/** Probes workers with direct calls that request a heartbeat, with a bounded number of concurrent calls. */
export class WorkerProber {
  private inFlight = 0;
  private earlyInFlight = 0;
  private readonly maxEarlyPerTick: number;

  constructor(
    private readonly ctx: FailureDetectionContext,
    private readonly options: WorkerProberOptions,
  ) {
    const processorMs = TICK_INTERVAL_MS * usableCpuShare(ctx.settings) * MAX_EARLY_PROBE_CPU_RATIO;
    this.maxEarlyPerTick = Math.max(1, Math.floor(processorMs / PROBE_CPU_MS));
  }

  /**
   * Probes a worker until it answers or counts as failed. The series ends earlier with the term, after a delay or lack
   * of sockets in this process, or if heartbeats show that only direct calls fail. No series starts, and `onFinished`
   * is not called, without an address (a failure is recorded), during another series, or at the limit on concurrent
   * series.
   */
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
   * Probes the workers with the longest time since their last heartbeat, before their heartbeats are overdue.
   *
   * A worker that hangs moves to the front of the list over time. The number of probes is bounded, since probing every
   * silent worker takes an estimated third of a leader's time on a tenth of a core and delays heartbeats and decisions.
   */
  probeEarly(workers: Worker[], now: MonotonicTime): void {
    if (this.ctx.load() > MAX_EARLY_PROBE_LOAD_RATIO) return;
    const { timeouts } = this.options;
    workers.sort(
      (left, right) => timeouts.timeSinceHeartbeat(right, now) - timeouts.timeSinceHeartbeat(left, now),
    );
    for (const worker of workers.slice(0, this.maxEarlyPerTick)) this.startEarlyProbe(worker);
  }

  private startEarlyProbe(worker: Worker): void {
    const { maxConcurrentWorkerCalls } = this.ctx;
    const maxEarly = Math.max(1, maxConcurrentWorkerCalls * MAX_EARLY_PROBE_CALL_RATIO);
    if (worker.probes.isInProgress || this.earlyInFlight >= maxEarly) return;
    if (this.inFlight >= maxConcurrentWorkerCalls) return;
    this.earlyInFlight++;
    this.probe(worker, () => {
      this.earlyInFlight--;
    });
  }

  /** Sends probes without a pause in between, so that replicas on a dead machine are replaced as early as possible. */
  private async probeUntilDecided(worker: Worker): Promise<void> {
    const previousHeartbeatAt = worker.contact.lastHeartbeatAt;
    while (!hasFailedProbes(worker) && !this.ctx.isEnded()) {
      const startedAt = this.ctx.clock.now();
      try {
        const heartbeat = await this.fetchHeartbeat(worker);
        if (!heartbeat || heartbeat.machine !== worker.id)
          throw new Error('the answer to the probe has no heartbeat of the probed worker');
        const now = this.ctx.clock.now();
        worker.contact.recordCallAnswered(now);
        this.options.onAnswer(worker, heartbeat, now);
        return;
      } catch (error) {
        if (!this.isAttributableToWorker(error, startedAt)) return;
        if (!this.recordFailure(worker, previousHeartbeatAt)) return;
      }
    }
  }

  /**
   * Requests a heartbeat from the worker. The last probe of a series, and every probe of a worker whose heartbeat is
   * overdue, also goes through the other controllers, since only the direct route from this leader may be partitioned.
   */
  private fetchHeartbeat(worker: Worker): Promise<Heartbeat | null> {
    const isLast = worker.probes.failedCount === MAX_FAILED_PROBE_COUNT - 1;
    return this.ctx.workerClient.fetchHeartbeat(
      worker.address,
      this.ctx.operators.workers.probeTimeout,
      isLast || this.options.timeouts.isOverdue(worker, this.ctx.clock.now()),
    );
  }

  private isAttributableToWorker(error: unknown, startedAt: MonotonicTime): boolean {
    // A lack of sockets in this process says nothing about the worker.
    if (error instanceof NoSocketError) return false;
    // A timeout that is processed late says nothing either: the answer may be received but unread, as after a takeover.
    const { probeTimeout } = this.ctx.operators.workers;
    return since(this.ctx.clock.now(), startedAt) <= probeTimeout * LATE_TIMEOUT_RATIO;
  }

  /** Records an unanswered probe and returns whether to continue probing. */
  private recordFailure(worker: Worker, previousHeartbeatAt: MonotonicTime | null): boolean {
    worker.probes.recordFailure();
    const now = this.ctx.clock.now();
    const hasReportedDuringProbes = worker.contact.lastHeartbeatAt !== previousHeartbeatAt;
    if (!hasReportedDuringProbes || this.options.timeouts.isSuspected(worker, now)) return true;
    // The worker sends heartbeats but direct calls do not reach it, so its heartbeats alone decide from now on.
    worker.contact.recordCallFailed(now);
    worker.probes.reset();
    return false;
  }
}
