/** One leadership: wires its parts together, reads what the earlier leader left, and keeps the parts going. */
import { Mutex } from 'async-mutex';
import { FleetManager } from '../fleet/fleet-manager.js';
import { Lifetimes } from '../forecast/lifetimes.js';
import { DecisionLog } from '../log/decision-log.js';
import { reason } from '../log/logger.js';
import type { Epoch, HostId, JobId, MemberId } from '../model/ids.js';
import type { Report } from '../model/heartbeat.js';
import { type Cancel, repeat, type Steady, since } from '../model/time.js';
import { Budget } from '../net/token-bucket.js';
import { DependencyGraph } from '../scheduler/dependency-graph.js';
import { JobStore } from '../scheduler/job-store.js';
import type { OpenJob } from '../scheduler/active-job.js';

import { SlackFactors } from '../scheduler/slack-factors.js';
import { Urgency } from '../scheduler/urgency.js';
import { Committer } from './committer.js';
import { WriteCounts } from './write-counts.js';
import { OrderIssuer } from '../workers/command-issuer.js';
import { Dispatcher } from '../workers/command-dispatcher.js';
import { Health } from '../workers/failure-detector.js';
import { type Host } from '../workers/state/worker.js';
import { HostRegistry } from '../workers/state/worker-registry.js';
import { loseAll } from '../workers/reconciliation.js';
import { aloneMs, Answering, type Grant } from '../leader/worker-lease-policy.js';
import type { LeaderContext, NodeContext } from '../core/context.js';
import { DecisionLoop } from '../leader/decision-loop.js';
import { DependencyTracker } from '../leader/dependency-tracker.js';
import type { Won } from '../leadership/election.js';
import { FleetRecord } from '../leader/fleet-record-writer.js';
import { HostDrainer } from '../leader/worker-drainer.js';
import { JobCanceller } from '../leader/job-canceller.js';
import { JobOutcomes } from '../leader/job-outcomes.js';
import { JobWatcher } from '../leader/job-watcher.js';
import { type ReportAnswer, ReportHandler } from './heartbeat-handler.js';
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
  private readonly hosts = new HostRegistry();
  private readonly lock = new Mutex();
  private readonly writes = new WriteCounts();
  private readonly fleet: FleetManager;
  private readonly committer: Committer;
  private readonly decisionLog: DecisionLog;
  private readonly issuer: OrderIssuer;
  private readonly dispatcher: Dispatcher;
  private readonly health: Health;
  private readonly answering: Answering;
  private readonly record: FleetRecord;
  private readonly decisions: DecisionLoop;
  private readonly canceller: JobCanceller;
  private readonly dependencies: DependencyTracker;
  private readonly drainer: HostDrainer;
  private readonly reports: ReportHandler;
  private readonly watcher: JobWatcher;
  private readonly restorer: StateRestorer;
  private readonly outcomes: JobOutcomes;
  private over = false;
  private readyAt: Steady | null = null;
  private chunkTasks = 0;
  private fleetDirty = false;
  private stopTick: Cancel | null = null;
  private readonly stopRating: Cancel;

  constructor(
    node: NodeContext,
    won: Won,
    grant: Grant,
    private readonly onOver: (why: string) => void,
  ) {
    const { clock, settings } = node;
    this.ctx = this.contextOf(node, won, grant);
    const { ctx, lock } = this;
    this.answering = new Answering(node, grant, (newer) => {
      if (newer > won.epoch) this.end('another node leads a newer epoch');
    });
    const lifetimes = new Lifetimes();
    const slackFactors = new SlackFactors();
    const urgency = new Urgency(settings.objectives);
    const graph = new DependencyGraph(this.jobs, (job) => urgency.takes(lifetimes.expectedRun(job.spec)));
    const stateBudget = new Budget(clock, 1, 1);
    this.stopRating = this.followRates(stateBudget);
    this.fleet = new FleetManager(ctx, this.cloudBudget(), { lifetimes, slackFactors, urgency }, this);
    this.record = new FleetRecord(ctx, this.fleet, stateBudget, this.writes);
    this.committer = new Committer(
      ctx,
      stateBudget,
      this.writes,
      (tasks) => this.decisions.placed(tasks),
      (job) => this.closed(job),
    );
    const onReport = (host: Host, report: Report): void => void this.reports.takeDirect(host, report);
    this.decisionLog = new DecisionLog(ctx.log, clock);
    this.issuer = new OrderIssuer(ctx, this.decisionLog);
    this.dispatcher = new Dispatcher(ctx, this.issuer, onReport, node.workerCalls);
    this.health = new Health(
      ctx,
      won.formerSure + aloneMs(node),
      onReport,
      (host, why) => this.fleet.remove(host, why),
      (host) => this.leaseOver(host),
    );
    const { fleet, committer, dispatcher, issuer, health, answering, decisionLog: decisions } = this;
    const judging = { lifetimes, urgency, slackFactors };
    this.decisions = new DecisionLoop(ctx, { fleet, committer, dispatcher, ...judging, lock });
    this.canceller = new JobCanceller(ctx, { graph, lifetimes, dispatcher, committer, fleet });
    this.dependencies = new DependencyTracker(ctx, graph, this.canceller, fleet, lock);
    this.drainer = new HostDrainer(ctx, dispatcher);
    const reporting = { fleet, health, dispatcher, issuer, committer, lifetimes, answering, lock, decisions };
    this.reports = new ReportHandler(ctx, reporting);
    this.watcher = new JobWatcher(ctx, this, answering, lock);
    this.restorer = new StateRestorer(ctx, fleet, this.record, this, answering);
    this.outcomes = new JobOutcomes(ctx, { fleet, ...judging });
  }

  private cloudBudget(): Budget {
    const { clock, settings } = this.ctx;
    return new Budget(clock, settings.cloudRps * CLOUD_SHARE, settings.cloudRps);
  }

  private followRates(budget: Budget): Cancel {
    const { limits } = this.ctx;
    return limits.whenRated(() => {
      const rate = limits.writeRps * STATE_SHARE;
      budget.setRate(rate, rate);
    });
  }

  private contextOf(node: NodeContext, won: Won, grant: Grant): LeaderContext {
    return {
      ...node,
      epoch: won.epoch,
      epochRevision: won.epochRevision,
      startedAt: node.clock.now(),
      jobs: this.jobs,
      hosts: this.hosts,
      sure: () => grant.sure(),
      deposed: (why) => this.end(why),
      ended: () => this.over,
      requestDecision: () => this.decisions.request(),
      cancelled: (id) => this.canceller.cancel(id),
      dispatch: (id) => this.wake(id),
      empty: (id) => this.drainer.empty(id),
    };
  }

  get epoch(): Epoch {
    return this.ctx.epoch;
  }

  /** Nothing is decided or answered from now on. */
  end(why: string): void {
    if (this.over) return;
    this.over = true;
    this.stopTick?.();
    this.stopRating();
    this.ctx.log.info({ epoch: this.ctx.epoch, why }, 'leadership ended');
    this.onOver(why);
  }

  /** Reads what the earlier leader left, and begins. */
  async start(): Promise<void> {
    const from = await this.restorer.run();
    if (this.over || from === null) return;
    this.readyAt = this.ctx.clock.now();
    this.reports.start();
    this.dependencies.start();
    this.ctx.log.info(
      { epoch: this.ctx.epoch, jobs: this.jobs.size, hosts: this.hosts.size },
      'leadership begun',
    );
    for (const host of this.restorer.inOrderOfNeed()) this.dispatcher.wake(host);
    void this.watcher.run(from);
    this.stopTick = repeat(this.ctx.clock, TICK_MS, () => this.tick());
    this.decisions.start();
  }

  private tick(): void {
    const now = this.ctx.clock.now();
    if (this.health.deaf(now)) {
      this.end('no worker is heard');
      return;
    }
    this.resize(now);
    // A leader that has just begun has not been told yet what is gone.
    if (this.readyAt !== null && since(now, this.readyAt) >= MEETING_MS) this.canceller.fenceOverdue(now);
    if (this.ctx.sure()) {
      this.health.tick(now);
      this.fleet.tick();
      this.drainer.tick(now);
    } else {
      this.health.unsure(now);
      void this.answering.ask();
    }
    if (this.fleet.takeDirty()) this.fleetDirty = true;
    if (this.fleetDirty && this.record.mayWrite(now)) void this.save();
    this.decisions.request();
  }

  /** Progress keeps to smaller records from the moment on when every controller reads them, or they have to be. */
  private resize(now: Steady): void {
    const { limits } = this.ctx;
    const size = limits.chunkTasks(Infinity);
    if (size === this.chunkTasks) return;
    this.chunkTasks = size;
    for (const job of this.jobs.values()) job.rechunk(limits.chunkTasks(job.spec.tasks), now);
    this.committer.schedule();
  }

  // What the records tell of jobs (`JobIntake`)

  /** A job that is not over, known already or not. */
  open(job: OpenJob): void {
    if (!this.jobs.add(job)) return;
    this.dependencies.add(job);
    if (this.ctx.cancellations.has(job.spec.id)) this.canceller.cancel(job.spec.id);
    // What waits for others is demand from its release on.
    else if (job.tasks.size === 0 && !job.blocked && !job.cancelled) this.fleet.demanded(job);
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
  cancelled(ids: readonly JobId[]): void {
    if (!this.over) void this.lock.runExclusive(() => ids.forEach((id) => this.canceller.cancel(id)));
  }

  private wake(id: HostId): void {
    const host = this.hosts.get(id);
    if (host) this.dispatcher.wake(host);
  }

  /** A worker's report, straight or through another node. */
  report(report: Report, via: MemberId): Promise<ReportAnswer> {
    return this.reports.take(report, via);
  }

  private closed(job: OpenJob): void {
    this.outcomes.closed(job);
    if (!job.cancelled) this.dependencies.done(job.spec.id);
  }

  /** The list of machines is worth writing (`FleetListener`). */
  fleetChanged(): void {
    this.fleetDirty = true;
  }

  /** The host and everything on it are proven gone (`FleetListener`). */
  hostGone(host: Host): void {
    const lost = loseAll(host, this.ctx.clock.now());
    if (lost.length > 0)
      this.ctx.log.info(
        { host: host.id, tasks: lost.length, some: lost.slice(0, 4).map((task) => task.id) },
        'tasks freed from a machine proven gone',
      );
    this.committer.schedule();
  }

  private leaseOver(host: Host): void {
    const lost = loseAll(host, this.ctx.clock.now());
    if (lost.length === 0) return;
    this.ctx.log.info({ host: host.id, tasks: lost.length }, 'tasks freed: the lease has run out');
    this.ctx.requestDecision();
  }

  private async save(): Promise<void> {
    this.fleetDirty = false;
    try {
      await this.record.save();
    } catch (error) {
      this.ctx.limits.recordsFailed(error);
      this.ctx.log.info({ error: reason(error) }, 'fleet not saved');
      this.fleetDirty = true;
    }
  }

  /** For display to users: tasks done and running. */
  progress(): { id: JobId; done: number; running: number }[] {
    return [...this.jobs.values()]
      .filter((job) => !job.cancelled)
      .map((job) => ({ id: job.spec.id, done: job.done, running: job.running }));
  }

  /** For the log. */
  summary(): object {
    return {
      ...summaryOf(this.jobs, this.hosts),
      writes: this.writes.take(),
      decisions: this.decisionLog.take(),
      withheld: this.issuer.withheld,
      contradictions: this.fleet.contradictions,
    };
  }
}
