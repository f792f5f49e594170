/** One leadership: wires its parts together, reads what the earlier leader left, and keeps the parts going. */
import { Mutex } from 'async-mutex';
import { FleetManager } from '../fleet/manager.js';
import { Lifetimes } from '../forecast/lifetimes.js';
import { reason } from '../log/logger.js';
import type { Epoch, HostId, JobId, MemberId, Revision } from '../model/ids.js';
import { Priority } from '../model/job.js';
import type { Machine } from '../model/machine.js';
import type { Report } from '../model/report.js';
import { type Cancel, type Steady, since, sleep } from '../model/time.js';
import { Budget } from '../net/budget.js';
import { DependencyGraph } from '../scheduler/dependencies.js';
import { JobStore } from '../scheduler/job-store.js';
import type { OpenJob } from '../scheduler/open-job.js';
import type { Task } from '../scheduler/task.js';
import { SlackFactors } from '../scheduler/slack-factors.js';
import { Urgency } from '../scheduler/urgency.js';
import { Committer } from '../store/committer.js';
import { WriteCounts } from '../store/write-counts.js';
import { Dispatcher } from '../workers/dispatcher.js';
import { Health } from '../workers/health.js';
import { type Host } from '../workers/host.js';
import { HostRegistry } from '../workers/host-registry.js';
import { loseAll } from '../workers/reports.js';
import { aloneMs, Answering, type Grant } from './answering.js';
import type { LeaderContext, NodeContext } from './context.js';
import { DecisionLoop } from './decision-loop.js';
import { DependencyTracker } from './dependency-tracker.js';
import { FleetRecord } from './fleet-record.js';
import { HostDrainer } from './host-drainer.js';
import { JobCanceller } from './job-canceller.js';
import { JobOutcomes } from './job-outcomes.js';
import { JobWatcher } from './job-watcher.js';
import { type ReportAnswer, ReportHandler } from './report-handler.js';
import { type LoadedJobs, loadOpenJobs, type RestoredFleet, restoreFleet } from './takeover.js';
import { summaryOf } from './summary.js';

const TICK_MS = 500;
/** By then a new leader has met the machines that live. */
const MEETING_MS = 4000;
/** A takeover that could not read the records tries again after this. */
const TAKEOVER_AGAIN_MS = 200;
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
  private readonly outcomes: JobOutcomes;
  private over = false;
  private readyAt: Steady | null = null;
  private chunkTasks = 0;
  private fleetDirty = false;
  private stopTick: Cancel | null = null;
  private readonly stopRating: Cancel;

  constructor(
    node: NodeContext,
    epoch: Epoch,
    epochRevision: Revision,
    grant: Grant,
    private readonly onOver: (why: string) => void,
  ) {
    const { clock, settings } = node;
    this.ctx = this.contextOf(node, epoch, epochRevision, grant);
    const { ctx, lock } = this;
    this.answering = new Answering(node, grant, (newer) => {
      if (newer > epoch) this.end('another node leads a newer epoch');
    });
    const lifetimes = new Lifetimes();
    const slackFactors = new SlackFactors();
    const urgency = new Urgency(settings.objectives);
    const graph = new DependencyGraph(this.jobs, (job) => urgency.takes(lifetimes.expectedRun(job.spec)));
    const stateBudget = new Budget(clock, 1, 1);
    this.stopRating = node.limits.whenRated(() => {
      const rate = node.limits.writeRps * STATE_SHARE;
      stateBudget.setRate(rate, rate);
    });
    this.fleet = new FleetManager(
      ctx,
      new Budget(clock, settings.cloudRps * CLOUD_SHARE, settings.cloudRps),
      { lifetimes, slackFactors, urgency },
      this,
    );
    this.record = new FleetRecord(ctx, this.fleet, stateBudget, this.writes);
    this.committer = new Committer(
      ctx,
      stateBudget,
      this.writes,
      (tasks) => this.decisions.placed(tasks),
      (job) => this.closed(job),
    );
    const onReport = (host: Host, report: Report): void => void this.reports.takeDirect(host, report);
    this.dispatcher = new Dispatcher(ctx, onReport, node.workerCalls);
    this.health = new Health(
      ctx,
      aloneMs(node),
      onReport,
      (host, why) => this.fleet.remove(host, why),
      (host) => this.leaseOver(host),
    );
    const { fleet, committer, dispatcher, health, answering } = this;
    this.decisions = new DecisionLoop(ctx, {
      fleet,
      committer,
      dispatcher,
      lifetimes,
      urgency,
      slackFactors,
      lock,
    });
    this.canceller = new JobCanceller(ctx, { graph, lifetimes, dispatcher, committer, fleet });
    this.dependencies = new DependencyTracker(ctx, graph, this.canceller, fleet, lock);
    this.drainer = new HostDrainer(ctx, dispatcher);
    this.reports = new ReportHandler(ctx, {
      fleet,
      health,
      dispatcher,
      committer,
      lifetimes,
      answering,
      lock,
    });
    this.watcher = new JobWatcher(ctx, this, answering, lock);
    this.outcomes = new JobOutcomes(ctx, { fleet, lifetimes, urgency, slackFactors });
  }

  private contextOf(node: NodeContext, epoch: Epoch, epochRevision: Revision, grant: Grant): LeaderContext {
    return {
      ...node,
      epoch,
      epochRevision,
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
    const from = await this.takeOver();
    if (this.over || from === null) return;
    this.readyAt = this.ctx.clock.now();
    this.reports.start();
    this.dependencies.start();
    this.ctx.log.info(
      { epoch: this.ctx.epoch, jobs: this.jobs.size, hosts: this.hosts.size },
      'leadership begun',
    );
    for (const host of this.inOrderOfNeed()) this.dispatcher.wake(host);
    void this.watcher.run(from);
    this.loop();
    this.decisions.start();
  }

  /** The revision from which changes are to be followed; null: the leadership is over. */
  private async takeOver(): Promise<Revision | null> {
    while (!this.over) {
      const began = this.ctx.clock.now();
      try {
        const jobs = await loadOpenJobs(this.ctx);
        this.restore(jobs, await restoreFleet(this.ctx, this.fleet));
        this.answering.knew(began);
        return jobs.revision;
      } catch (error) {
        this.ctx.log.info({ error: reason(error) }, 'takeover waits for the state service');
        await sleep(this.ctx.clock, TAKEOVER_AGAIN_MS);
      }
    }
    return null;
  }

  private restore({ jobs, orphans, cancelled }: LoadedJobs, fleet: RestoredFleet): void {
    for (const job of jobs) this.open(job);
    this.committer.leave(orphans);
    this.record.found(fleet.records);
    for (const { machine, address, at, up } of fleet.machines) {
      const host = this.fleet.adopt(machine, at, address);
      if (host && up) host.up = true;
    }
    this.attachHeld();
    for (const id of cancelled) this.canceller.cancel(id);
  }

  /** Whom a new leader meets first: machines with production work, then those with room. */
  private inOrderOfNeed(): Host[] {
    const need = (host: Host): number => {
      for (const task of host.tasks) if (task.job.spec.priority === Priority.Production) return 0;
      return host.free.cpus > 0 ? 1 : 2;
    };
    return [...this.hosts.values()]
      .filter((host) => host.up || !host.empty)
      .map((host) => ({ host, need: need(host) }))
      .sort((a, b) => a.need - b.need)
      .map(({ host }) => host);
  }

  private loop(): void {
    if (this.over) return;
    this.stopTick = this.ctx.clock.after(TICK_MS, () => {
      this.tick();
      this.loop();
    });
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

  /** Everything that was unfinished when the records were read again. */
  load({ jobs, orphans, cancelled }: LoadedJobs): void {
    for (const job of jobs) this.open(job);
    this.committer.leave(orphans);
    for (const id of cancelled) this.canceller.cancel(id);
  }

  /** Confirmed to a user, as told by another controller or seen in the record. */
  cancelled(ids: readonly JobId[]): void {
    if (!this.over) void this.lock.runExclusive(() => ids.forEach((id) => this.canceller.cancel(id)));
  }

  /** Every task that may be on a machine holds its place there, known machine or not. */
  private attachHeld(): void {
    for (const job of this.jobs.values()) {
      for (const task of job.held()) {
        const host = task.host === null ? undefined : this.hosts.get(task.host);
        if (host) {
          task.zone = host.machine.zone;
          host.put(task);
        } else if (task.host !== null) this.adoptUnknown(task, task.host);
      }
    }
  }

  /** A task's host is in no list yet: it is fenced like a silent one unless it is heard. */
  private adoptUnknown(task: Task, id: HostId): void {
    const type = this.ctx.types.values().next().value;
    if (!type) return;
    const machine: Machine = { id, type: type.id, zone: this.ctx.settings.zone, spot: true };
    const host = this.fleet.adopt(machine, this.ctx.startedAt, '', true);
    host?.put(task);
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
    return { ...summaryOf(this.jobs, this.hosts), writes: this.writes.take() };
  }
}
