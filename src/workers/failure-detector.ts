import type { Heartbeat } from '../model/heartbeat.js';
import { type MonotonicTime, since } from '../model/time.js';
import type { FailureDetectionContext } from './failure-detection-context.js';
import {
  recordUpWorker,
  createFleetSnapshot,
  type FleetHealthSnapshot,
  isLikelyPartitioned,
  isIndividuallyUnresponsive,
  type ZoneHealth,
} from './fleet-health.js';
import { HeartbeatTimeouts } from './heartbeat-timeouts.js';
import { InboundPartitionDetector } from './inbound-partition.js';
import { LeaseExpiry } from './lease-expiry.js';
import type { Worker } from './state/worker.js';
import { hasFailedProbes, WorkerProber } from './worker-prober.js';

/** The maximum time between two ticks; if a tick is later, this process was delayed, and the tick fences no worker. */
const MAX_TICK_DELAY_MS = 700;
/** The silence after which a machine with replicas is probed, since replicas do not run on a machine that hangs. */
const EARLY_PROBE_SILENCE_MS = 2000;
/** The ratio of the worker lease duration after which an unreachable machine behind a likely partition is fenced. */
const PARTITION_FENCING_LEASE_RATIO = 0.7;

/** Settings and callbacks of a `WorkerFailureDetector`. */
export interface WorkerFailureDetectorOptions {
  /** How long an earlier leader may renew worker leases after the takeover of this leader, in ms. */
  readonly predecessorRenewalMs: number;
  /** Called with the heartbeat that answers a probe. */
  readonly onHeartbeat: (worker: Worker, heartbeat: Heartbeat) => void;
  /** Fences the worker's machine; called on every tick that finds the worker failed. */
  readonly fence: (worker: Worker, reason: string) => void;
  /** Called for a worker with tasks whose lease has certainly expired, so that the worker has killed them. */
  readonly onLeaseExpired: (worker: Worker) => void;
}

/**
 * Detects workers that send no heartbeats or receive no answers, and fences their machines. Also detects that the
 * leader itself receives no heartbeats.
 */
export class WorkerFailureDetector {
  private readonly timeouts: HeartbeatTimeouts;
  private readonly inboundPartition: InboundPartitionDetector;
  private readonly leaseExpiry: LeaseExpiry;
  private readonly prober: WorkerProber;
  private lastTickAt: MonotonicTime;

  constructor(
    private readonly ctx: FailureDetectionContext,
    private readonly options: WorkerFailureDetectorOptions,
  ) {
    this.timeouts = new HeartbeatTimeouts(ctx);
    this.inboundPartition = new InboundPartitionDetector(ctx, this.timeouts);
    this.leaseExpiry = new LeaseExpiry(ctx, options.predecessorRenewalMs);
    this.prober = new WorkerProber(ctx, {
      timeouts: this.timeouts,
      onAnswer: (worker, heartbeat, now) => {
        this.recordHeartbeat(worker, now);
        options.onHeartbeat(worker, heartbeat);
      },
    });
    this.lastTickAt = ctx.startedAt;
  }

  /** Records a heartbeat that the worker sent in this epoch. */
  recordHeartbeat(worker: Worker, now: MonotonicTime): void {
    worker.contact.recordHeartbeat(now);
    this.inboundPartition.recordHeartbeat(now);
    // A worker that sends heartbeats but receives no answers remains suspected until a delivery is recorded.
    if (this.timeouts.isSuspected(worker, now)) return;
    worker.probes.reset();
    if (worker.cordon === 'unresponsive' && !worker.isRemoving) worker.cordon = null;
  }

  /** Records an answer to a machine whose record this leader has not read yet. */
  recordAnswerToUnknownMachine(now: MonotonicTime): void {
    this.leaseExpiry.recordAnswerToUnknownMachine(now);
  }

  /** The time after which no task runs that no heartbeat has reported to this leader (`LeaseExpiry`). */
  get untrackedLeasesEndAt(): MonotonicTime {
    return this.leaseExpiry.untrackedLeasesEndAt;
  }

  /** Replaces `tick` while the leader lease is invalid: no worker is fenced, but worker leases still expire. */
  checkLeases(now: MonotonicTime): void {
    this.lastTickAt = now;
    for (const worker of this.ctx.workers.values()) this.checkLease(worker, now);
  }

  /** Whether an inbound partition is assumed (`InboundPartitionDetector`). Must be called before each tick. */
  isInboundPartitioned(now: MonotonicTime): boolean {
    const delay = since(now, this.lastTickAt);
    if (delay > MAX_TICK_DELAY_MS) this.inboundPartition.recordDelay(delay);
    return this.inboundPartition.isPartitioned(now);
  }

  /**
   * Checks every worker that is up or has tasks, probes suspected workers, and fences failed ones. A tick that is later
   * than `MAX_TICK_DELAY_MS` only resets the probes.
   */
  tick(now: MonotonicTime): void {
    const snapshot = this.takeSnapshot(now);
    this.prober.probeEarly(snapshot.probeCandidates, now);
    for (const worker of snapshot.unresponsive) {
      if (isIndividuallyUnresponsive(worker, snapshot)) this.fence(worker, 'unresponsive');
    }
    for (const worker of snapshot.suspected) this.handleSuspected(worker, snapshot, now);
  }

  private takeSnapshot(now: MonotonicTime): FleetHealthSnapshot {
    const isDelayed = since(now, this.lastTickAt) > MAX_TICK_DELAY_MS;
    this.lastTickAt = now;
    const snapshot = createFleetSnapshot();
    for (const worker of this.ctx.workers.values()) {
      if (!worker.isUp && worker.isEmpty) continue;
      const zone = recordUpWorker(snapshot, worker);
      if (isDelayed) worker.probes.reset();
      else this.classify(worker, zone, snapshot, now);
    }
    return snapshot;
  }

  private classify(
    worker: Worker,
    zone: ZoneHealth,
    snapshot: FleetHealthSnapshot,
    now: MonotonicTime,
  ): void {
    if (this.timeouts.isSuspected(worker, now)) {
      snapshot.suspected.push(worker);
      zone.suspected++;
      return;
    }
    if (!isEligibleForEarlyProbe(worker)) return;
    zone.probedEarly++;
    if (this.timeouts.timeSinceHeartbeat(worker, now) < EARLY_PROBE_SILENCE_MS) return;
    if (hasFailedProbes(worker)) {
      snapshot.unresponsive.push(worker);
      zone.unresponsive++;
    } else snapshot.probeCandidates.push(worker);
  }

  private handleSuspected(worker: Worker, snapshot: FleetHealthSnapshot, now: MonotonicTime): void {
    if (!hasFailedProbes(worker)) this.prober.probe(worker);
    else if (!isLikelyPartitioned(worker, snapshot) || this.isPartitionFencingDue(worker, now))
      this.fence(worker, 'unreachable');
    this.checkLease(worker, now);
  }

  /**
   * Whether a machine behind a likely partition is due for fencing. Tasks behind a partition keep running, and their
   * results are kept, so their machines are fenced only after `PARTITION_FENCING_LEASE_RATIO` of the lease duration,
   * counted from this leader's last answer to the worker's heartbeat, or from the takeover without an answer.
   */
  private isPartitionFencingDue(worker: Worker, now: MonotonicTime): boolean {
    const fencingDelayMs = this.ctx.settings.workerLeaseDuration * PARTITION_FENCING_LEASE_RATIO;
    return since(now, worker.lease.lastAnsweredAt ?? this.ctx.startedAt) > fencingDelayMs;
  }

  private fence(worker: Worker, reason: string): void {
    worker.cordon ??= 'unresponsive';
    this.options.fence(worker, reason);
  }

  private checkLease(worker: Worker, now: MonotonicTime): void {
    if (this.leaseExpiry.hasExpired(worker, now)) this.options.onLeaseExpired(worker);
  }
}

/**
 * Whether the worker may be probed before its heartbeat is overdue: it has reported, has an address and replicas, is
 * not being removed, and its last direct call did not fail.
 */
function isEligibleForEarlyProbe(worker: Worker): boolean {
  if (!worker.hasReported || worker.address === '') return false;
  if (worker.contact.hasFailedCall || worker.isRemoving) return false;
  return worker.hasReplicas;
}
