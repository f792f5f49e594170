import type { Heartbeat } from '../model/heartbeat.js';
import { type MonotonicTime, since } from '../model/time.js';
import type { FailureDetectionContext } from './failure-detection-context.js';
import {
  countUp,
  emptySnapshot,
  type FleetHealthSnapshot,
  isLikelyPartitioned,
  isSingleUnresponsive,
  type ZoneHealth,
} from './fleet-health.js';
import { HeartbeatTimeouts } from './heartbeat-timeouts.js';
import { InboundPartitionDetector } from './inbound-partition.js';
import { LeaseExpiry } from './lease-expiry.js';
import type { Worker } from './state/worker.js';
import { hasFailedProbes, WorkerProber } from './worker-prober.js';

/** A tick that comes later than this finds its own process held up: nobody is judged by it. */
const MAX_TICK_DELAY_MS = 700;
/** Replicas do not run on a machine that hangs: such a machine is probed when it has been silent for this long. */
const EARLY_PROBE_MS = 2000;
/** The part of a lease after which machines behind a partition are given up. */
const PARTITION_PATIENCE = 0.7;

/** What a `WorkerFailureDetector` is made with. */
export interface WorkerFailureDetectorOptions {
  /** For how long an earlier leader may renew worker leases after our takeover, in ms. */
  readonly predecessorRenewalMs: number;
  /** Called with the heartbeat that answers a probe. */
  readonly onHeartbeat: (worker: Worker, heartbeat: Heartbeat) => void;
  /** Called again and again until the machine is gone. */
  readonly fence: (worker: Worker, reason: string) => void;
  /** Called for a worker with tasks: they were surely killed. */
  readonly onLeaseExpired: (worker: Worker) => void;
}

/**
 * Detects workers that are silent, or heard and not reached, and fences their machines; notices when it
 * is the leader who receives nothing.
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

  /** A worker was heard from under our epoch. */
  recordHeartbeat(worker: Worker, now: MonotonicTime): void {
    worker.contact.recordHeartbeat(now);
    this.inboundPartition.recordHeartbeat(now);
    // One that is heard and not reached stays under suspicion: only a contact clears it.
    if (this.timeouts.isSuspected(worker, now)) return;
    worker.probes.reset();
    if (worker.cordon === 'unresponsive' && !worker.isRemoving) worker.cordon = null;
  }

  /** A machine was answered before we had read that it exists. */
  recordAnswerToUnknownMachine(now: MonotonicTime): void {
    this.leaseExpiry.recordAnswerToUnknownMachine(now);
  }

  /** From when on nothing runs of which no heartbeat has told us (`LeaseExpiry`). */
  get earlierLeasesEndAt(): MonotonicTime {
    return this.leaseExpiry.earlierLeasesEndAt;
  }

  /** The tick without a valid leader lease: nobody is judged meanwhile, but worker leases still expire. */
  checkLeases(now: MonotonicTime): void {
    this.lastTickAt = now;
    for (const worker of this.ctx.workers.values()) this.checkLease(worker, now);
  }

  /** Whether the leader hears none of the workers that are up. To be called before each tick. */
  isInboundPartitioned(now: MonotonicTime): boolean {
    const delay = since(now, this.lastTickAt);
    if (delay > MAX_TICK_DELAY_MS) this.inboundPartition.recordDelay(delay);
    return this.inboundPartition.isPartitioned(now);
  }

  /** Checks every worker, probes those under suspicion, and fences those that have failed. */
  tick(now: MonotonicTime): void {
    const snapshot = this.takeSnapshot(now);
    this.prober.probeEarly(snapshot.probeCandidates, now);
    for (const worker of snapshot.unresponsive) {
      if (isSingleUnresponsive(worker, snapshot)) this.fence(worker, 'unresponsive');
    }
    for (const worker of snapshot.suspected) this.judgeSuspected(worker, snapshot, now);
  }

  private takeSnapshot(now: MonotonicTime): FleetHealthSnapshot {
    const isDelayed = since(now, this.lastTickAt) > MAX_TICK_DELAY_MS;
    this.lastTickAt = now;
    const snapshot = emptySnapshot();
    for (const worker of this.ctx.workers.values()) {
      if (!worker.isUp && worker.isEmpty) continue;
      const zone = countUp(snapshot, worker);
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
    if (!isProbedEarly(worker)) return;
    zone.probedEarly++;
    if (this.timeouts.silenceOf(worker, now) < EARLY_PROBE_MS) return;
    if (hasFailedProbes(worker)) {
      snapshot.unresponsive.push(worker);
      zone.unresponsive++;
    } else snapshot.probeCandidates.push(worker);
  }

  private judgeSuspected(worker: Worker, snapshot: FleetHealthSnapshot, now: MonotonicTime): void {
    if (!hasFailedProbes(worker)) this.prober.probe(worker);
    else if (!isLikelyPartitioned(worker, snapshot) || this.isGivenUp(worker, now))
      this.fence(worker, 'unreachable');
    this.checkLease(worker, now);
  }

  /**
   * Behind a partition the work goes on, and what it completes is kept: its machines are fenced only
   * shortly before their leases would end it.
   */
  private isGivenUp(worker: Worker, now: MonotonicTime): boolean {
    const givenUpAfter = this.ctx.settings.workerLeaseDuration * PARTITION_PATIENCE;
    return since(now, worker.lease.lastAnsweredAt ?? this.ctx.startedAt) > givenUpAfter;
  }

  private fence(worker: Worker, reason: string): void {
    worker.cordon ??= 'unresponsive';
    this.options.fence(worker, reason);
  }

  private checkLease(worker: Worker, now: MonotonicTime): void {
    if (this.leaseExpiry.hasExpired(worker, now)) this.options.onLeaseExpired(worker);
  }
}

/** Whether the worker is probed between its heartbeats: it holds replicas, and direct calls reach it at all. */
function isProbedEarly(worker: Worker): boolean {
  if (!worker.hasReported || worker.address === '') return false;
  if (worker.contact.hasFailedCall || worker.isRemoving) return false;
  return worker.hasReplicas;
}
