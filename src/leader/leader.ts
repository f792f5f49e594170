/** One leadership: wires its parts together, reads what the earlier leader left, and keeps the parts going. */
import { Mutex } from 'async-mutex';
import { FleetManager } from '../fleet/fleet-manager.js';
import { Lifetimes } from '../forecast/lifetimes.js';
import { DecisionLog } from '../log/decision-log.js';
import { errorMessage } from '../log/logger.js';
import type { Epoch, MachineId, JobId, MemberId } from '../model/ids.js';
import type { Heartbeat } from '../model/heartbeat.js';
import { type Cancel, runPeriodically, type MonotonicTime, since } from '../model/time.js';
import { TokenBucket } from '../net/token-bucket.js';
import { DependencyGraph } from '../scheduler/dependency-graph.js';
import { JobStore } from '../scheduler/job-store.js';
import type { ActiveJob } from '../scheduler/active-job.js';

import { SlackFactors } from '../scheduler/slack-factors.js';
import { SloTargets } from '../scheduler/slo-targets.js';
import { Committer } from './committer.js';
import { WriteCounts } from './write-counts.js';
import { CommandIssuer } from '../workers/command-issuer.js';
import { CommandDispatcher } from '../workers/command-dispatcher.js';
import { WorkerFailureDetector } from '../workers/failure-detector.js';
import { type Worker } from '../workers/state/worker.js';
import { WorkerRegistry } from '../workers/state/worker-registry.js';
import { releaseAllTasks } from '../workers/reconciliation.js';
import { maxRenewalWithoutQuorum, WorkerLeasePolicy } from '../leader/worker-lease-policy.js';
import type { LeaderContext, ControllerContext } from '../core/context.js';
import { DecisionLoop } from '../leader/decision-loop.js';
import { DependencyTracker } from '../leader/dependency-tracker.js';
import type { LeaseValidity } from '../leadership/lease.js';
import type { LeadershipTerm } from '../leadership/term.js';
import type { TermEndReason } from '../model/term-end-reason.js';
import { FleetRecordWriter } from '../leader/fleet-record-writer.js';
import { WorkerDrainer } from '../leader/worker-drainer.js';
import { JobCanceller } from '../leader/job-canceller.js';
import { JobOutcomes } from '../leader/job-outcomes.js';
import { JobWatcher } from '../leader/job-watcher.js';
import { type HeartbeatOutcome, HeartbeatHandler } from './heartbeat-handler.js';
import { StateRestorer } from './state-restorer.js';
import type { LoadedJobs } from './record-loader.js';
import { summaryOf } from './leader-summary.js';

const TICK_MS = 500;
/** By then a new leader has met the machines that live. */
const MEETING_MS = 4000;
/** The share of the state service's changes that a leader uses at most. */
const STATE_SHARE = 0.7;
/** The share of the cloud's calls that a leader makes at most. */
const CLOUD_SHARE = 0.8;

/** Everything that one epoch decides. */
export class Leader {
  private readonly ctx: LeaderContext;
  private readonly jobs = new JobStore();
  private readonly workers = new WorkerRegistry();
  private readonly lock = new Mutex();
  private readonly writes = new WriteCounts();
  private readonly fleet: FleetManager;
  private readonly committer: Committer;
  private readonly decisionLog: DecisionLog;
  private readonly issuer: CommandIssuer;
  private readonly dispatcher: CommandDispatcher;
  private readonly failureDetector: WorkerFailureDetector;
  private readonly workerLeasePolicy: WorkerLeasePolicy;
  private readonly record: FleetRecordWriter;
  private readonly decisions: DecisionLoop;
  private readonly canceller: JobCanceller;
  private readonly dependencies: DependencyTracker;
  private readonly drainer: WorkerDrainer;
  private readonly heartbeats: HeartbeatHandler;
  private readonly watcher: JobWatcher;
  private readonly restorer: StateRestorer;
  private readonly outcomes: JobOutcomes;
  private over = false;
  private readyAt: MonotonicTime | null = null;
  private chunkTasks = 0;
  private fleetDirty = false;
  private stopTick: Cancel | null = null;
  private readonly stopRating: Cancel;

  constructor(
    node: ControllerContext,
    won: LeadershipTerm,
    lease: LeaseValidity,
    private readonly onOver: (reason: TermEndReason) => void,
  ) {
    const { clock, settings } = node;
    this.ctx = this.contextOf(node, won, lease);
    const { ctx, lock } = this;
    this.workerLeasePolicy = new WorkerLeasePolicy(node, lease, (newer) => {
      if (newer > won.epoch) this.end('another node leads a newer epoch');
    });
    const lifetimes = new Lifetimes();
    const slackFactors = new SlackFactors();
    const sloTargets = new SloTargets(settings.objectives);
    const graph = new DependencyGraph(this.jobs, (job) =>
      sloTargets.estimatedDurationMs(lifetimes.expectedRunMs(job.spec)),
    );
    const stateBudget = new TokenBucket(clock, 1, 1);
    this.stopRating = this.followRates(stateBudget);
    this.fleet = new FleetManager(ctx, this.cloudBudget(), { lifetimes, slackFactors, sloTargets }, this);
    this.record = new FleetRecordWriter(ctx, this.fleet, stateBudget, this.writes);
    this.committer = new Committer(
      ctx,
      stateBudget,
      this.writes,
      (tasks) => this.decisions.placed(tasks),
      (job) => this.closed(job),
    );
    const onReport = (worker: Worker, heartbeat: Heartbeat): void =>
      void this.heartbeats.takeDirect(worker, heartbeat);
    this.decisionLog = new DecisionLog(ctx.log, clock);
    this.issuer = new CommandIssuer(ctx, this.decisionLog);
    this.dispatcher = new CommandDispatcher(ctx, {
      issuer: this.issuer,
      onHeartbeat: onReport,
      maxConcurrentCalls: node.maxConcurrentWorkerCalls,
    });
    this.failureDetector = new WorkerFailureDetector(ctx, {
      predecessorRenewalMs: won.previousLeaseRemaining + maxRenewalWithoutQuorum(node),
      onHeartbeat: onReport,
      fence: (worker, reason) => this.fleet.remove(worker, reason),
      onLeaseExpired: (worker) => this.onLeaseExpired(worker),
    });
    const { fleet, committer, dispatcher, workerLeasePolicy } = this;
    const judging = { lifetimes, sloTargets, slackFactors };
    this.decisions = new DecisionLoop(ctx, { fleet, committer, dispatcher, ...judging, lock });
    this.canceller = new JobCanceller(ctx, { graph, lifetimes, dispatcher, committer, fleet });
    this.dependencies = new DependencyTracker(ctx, graph, this.canceller, fleet, lock);
    this.drainer = new WorkerDrainer(ctx, dispatcher);
    this.heartbeats = this.createHeartbeatHandler(lifetimes);
    this.watcher = new JobWatcher(ctx, this, workerLeasePolicy, lock);
    this.restorer = new StateRestorer(ctx, fleet, this.record, this, workerLeasePolicy);
    this.outcomes = new JobOutcomes(ctx, { fleet, ...judging });
  }

  private createHeartbeatHandler(lifetimes: Lifetimes): HeartbeatHandler {
    const { fleet, failureDetector, dispatcher, issuer, committer, workerLeasePolicy, lock } = this;
    return new HeartbeatHandler(this.ctx, {
      fleet,
      failureDetector,
      dispatcher,
      issuer,
      committer,
      lifetimes,
      workerLeasePolicy,
      lock,
      decisions: this.decisionLog,
    });
  }

  private cloudBudget(): TokenBucket {
    const { clock, settings } = this.ctx;
    return new TokenBucket(
      clock,
      settings.cloudRequestsPerSecond * CLOUD_SHARE,
      settings.cloudRequestsPerSecond,
    );
  }

  private followRates(budget: TokenBucket): Cancel {
    const { storeLimits } = this.ctx;
    return storeLimits.onRateChange(() => {
      const rate = storeLimits.writeRps * STATE_SHARE;
      budget.setRate(rate, rate);
    });
  }

  private contextOf(node: ControllerContext, won: LeadershipTerm, lease: LeaseValidity): LeaderContext {
    return {
      ...node,
      epoch: won.epoch,
      epochRevision: won.epochRevision,
      startedAt: node.clock.now(),
      jobs: this.jobs,
      workers: this.workers,
      isLeaseValid: () => lease.isLeaseValid(),
      stepDown: (reason) => this.end(reason),
      isEnded: () => this.over,
      requestDecision: () => this.decisions.request(),
      cancelJob: (id) => this.canceller.cancel(id),
      dispatchCommands: (id) => this.wake(id),
      drainWorker: (id) => this.drainer.drain(id),
    };
  }

  get epoch(): Epoch {
    return this.ctx.epoch;
  }

  /** Nothing is decided or answered from now on. */
  end(reason: TermEndReason): void {
    if (this.over) return;
    this.over = true;
    this.stopTick?.();
    this.stopRating();
    this.ctx.log.info({ epoch: this.ctx.epoch, reason }, 'leadership ended');
    this.onOver(reason);
  }

  /** Reads what the earlier leader left, and begins. */
  async start(): Promise<void> {
    const from = await this.restorer.run();
    if (this.over || from === null) return;
    this.readyAt = this.ctx.clock.now();
    this.heartbeats.start();
    this.dependencies.start();
    this.ctx.log.info(
      { epoch: this.ctx.epoch, jobs: this.jobs.size, workers: this.workers.size },
      'leadership begun',
    );
    for (const worker of this.restorer.inOrderOfNeed()) this.dispatcher.dispatch(worker);
    void this.watcher.run(from);
    this.stopTick = runPeriodically(this.ctx.clock, TICK_MS, () => this.tick());
    this.decisions.start();
  }

  private tick(): void {
    const now = this.ctx.clock.now();
    if (this.failureDetector.isInboundPartitioned(now)) {
      this.end('no worker is heard');
      return;
    }
    this.resize(now);
    // A leader that has just begun has not been told yet what is gone.
    if (this.readyAt !== null && since(now, this.readyAt) >= MEETING_MS) this.canceller.fenceOverdue(now);
    if (this.ctx.isLeaseValid()) {
      this.failureDetector.tick(now);
      this.fleet.tick();
      this.drainer.tick(now);
    } else {
      this.failureDetector.checkLeases(now);
      void this.workerLeasePolicy.pollPeers();
    }
    if (this.fleet.takeDirty()) this.fleetDirty = true;
    if (this.fleetDirty && this.record.mayWrite(now)) void this.save();
    this.decisions.request();
  }

  /** Progress keeps to smaller records from the moment on when every controller reads them, or they have to be. */
  private resize(now: MonotonicTime): void {
    const { storeLimits } = this.ctx;
    const size = storeLimits.chunkSize(Infinity);
    if (size === this.chunkTasks) return;
    this.chunkTasks = size;
    for (const job of this.jobs.values()) job.resizeChunks(storeLimits.chunkSize(job.spec.taskCount), now);
    this.committer.schedule();
  }

  // What the records tell of jobs (`JobIntake`)

  /** A job that is not over, known already or not. */
  open(job: ActiveJob): void {
    if (!this.jobs.add(job)) return;
    this.dependencies.add(job);
    if (this.ctx.cancellations.has(job.spec.id)) this.canceller.cancel(job.spec.id);
    // What waits for others is demand from its release on.
    else if (job.tasks.size === 0 && !job.isBlocked && !job.isCancelled) this.fleet.recordDemand(job);
  }

  /** A job whose cancellation is confirmed, known or not. */
  cancel(id: JobId): void {
    this.canceller.cancel(id);
  }

  /** What the records still hold of jobs that are over, and jobs that were cancelled since they were accepted. */
  dropOver({ orphans, cancelled }: LoadedJobs): void {
    this.committer.leave(orphans);
    for (const id of cancelled) this.canceller.cancel(id);
  }

  /** Confirmed to a user, as told by another controller or seen in the record. */
  onCancellationsConfirmed(ids: readonly JobId[]): void {
    if (!this.over) void this.lock.runExclusive(() => ids.forEach((id) => this.canceller.cancel(id)));
  }

  private wake(id: MachineId): void {
    const worker = this.workers.get(id);
    if (worker) this.dispatcher.dispatch(worker);
  }

  /** A worker's report, straight or through another node. */
  handleHeartbeat(heartbeat: Heartbeat, via: MemberId): Promise<HeartbeatOutcome> {
    return this.heartbeats.take(heartbeat, via);
  }

  private closed(job: ActiveJob): void {
    this.outcomes.closed(job);
    if (!job.isCancelled) this.dependencies.done(job.spec.id);
  }

  /** The list of machines is worth writing (`FleetListener`). */
  fleetChanged(): void {
    this.fleetDirty = true;
  }

  /** The host and everything on it are proven gone (`FleetListener`). */
  machineGone(worker: Worker): void {
    const lost = releaseAllTasks(worker, this.ctx.clock.now());
    if (lost.length > 0)
      this.ctx.log.info(
        { worker: worker.id, tasks: lost.length, some: lost.slice(0, 4).map((task) => task.id) },
        'tasks freed from a machine proven gone',
      );
    this.committer.schedule();
  }

  private onLeaseExpired(worker: Worker): void {
    const lost = releaseAllTasks(worker, this.ctx.clock.now());
    if (lost.length === 0) return;
    this.ctx.log.info({ worker: worker.id, tasks: lost.length }, 'tasks freed: the lease has run out');
    this.ctx.requestDecision();
  }

  private async save(): Promise<void> {
    this.fleetDirty = false;
    try {
      await this.record.save();
    } catch (error) {
      this.ctx.storeLimits.recordWriteFailure(error);
      this.ctx.log.info({ error: errorMessage(error) }, 'fleet not saved');
      this.fleetDirty = true;
    }
  }

  /** For display to users: tasks done and running. */
  progress(): { id: JobId; done: number; running: number }[] {
    return [...this.jobs.values()]
      .filter((job) => !job.isCancelled)
      .map((job) => ({ id: job.spec.id, done: job.doneCount, running: job.runningCount }));
  }

  /** For the log. */
  summary(): object {
    return {
      ...summaryOf(this.jobs, this.workers),
      writes: this.writes.take(),
      decisions: this.decisionLog.takeCounts(),
      withheld: this.issuer.withheld,
      contradictions: this.fleet.contradictions,
    };
  }
}
