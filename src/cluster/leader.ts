import { Mutex } from 'async-mutex';
import { FleetManager } from '../fleet/manager.js';
import type { QueuedWork } from '../fleet/backlog.js';
import { Lifetimes } from '../forecast/lifetimes.js';
import { reason } from '../log/logger.js';
import {
  type Epoch,
  epochOfToken,
  type HostId,
  type JobId,
  type MemberId,
  type Round,
  type Stamp,
  type TeamId,
  tokenOf,
} from '../model/ids.js';
import { type JobRecord, type JobSpec, Priority } from '../model/job.js';
import type { Machine } from '../model/machine.js';
import type { Order, Report } from '../model/report.js';
import type { Team } from '../model/team.js';
import { type Cancel, ms, type Steady, plus, since, sleep } from '../model/time.js';
import { Budget } from '../net/budget.js';
import { DependencyGraph } from '../scheduler/dependencies.js';
import { JobBook, type OpenJob, type Task } from '../scheduler/job-book.js';
import { guaranteedJobs, type JobView, type MachineView, place, type Victim } from '../scheduler/place.js';
import { Patience } from '../scheduler/patience.js';
import { isStarving, Urgency } from '../scheduler/urgency.js';
import { Committer } from '../store/committer.js';
import { decodeJob } from '../store/job-record.js';
import { keys } from '../store/keys.js';
import { ordersBody } from '../wire/workers.js';
import { Dispatcher, markSent } from '../workers/dispatcher.js';
import { Health } from '../workers/health.js';
import { type Host, HostBook } from '../workers/host-book.js';
import { clearsFor, killsOf, mustForget, needsRaise, ordersFor } from '../workers/orders.js';
import { applyReport, loseAll, type Told } from '../workers/reports.js';
import { aloneMs, Answering, type Grant, watchedUpTo } from './answering.js';
import type { LeaderContext, NodeContext } from './context.js';
import { FleetRecord } from './fleet-record.js';
import { loadOpenJobs, openJob, readDependencies, readDescription, restoreFleet } from './takeover.js';
import { jobView, machineView, summaryOf, victims } from './views.js';

export interface Answer {
  readonly status: number;
  readonly body?: object;
}

const TICK_MS = 500;
/** Each answer of the watch tells that nothing is missed up to then: see `Answering`. */
const WATCH_MS = 5000;
const MOST_ORDERS = 250;
/** The part of a cancellation's limit after which a host that keeps its task is fenced. */
const CANCEL_PATIENCE = 0.4;
/** A further record of a job that could not be read is asked for again after this. */
const READ_AGAIN_MS = 300;
/** By then a new leader has met the machines that live. */
const MEETING_MS = 4000;
/**
 * What asks for a decision within this is decided together: at size that also means fewer transactions,
 * and fewer calls to machines that get several tasks.
 */
const DECIDE_MS = 40;
/** The pause after a decision, in times of what it took. */
const DECIDE_PAUSE = 3;

/** One leadership: everything that one epoch decides. */
export class Leader {
  private readonly ctx: LeaderContext;
  private readonly jobs = new JobBook();
  private readonly hosts = new HostBook();
  private readonly fleet: FleetManager;
  private readonly committer: Committer;
  private readonly dispatcher: Dispatcher;
  private readonly health: Health;
  private readonly teams: Map<TeamId, Team>;
  private readonly answering: Answering;
  private readonly lock = new Mutex();
  private readonly lifetimes = new Lifetimes();
  private readonly urgency: Urgency;
  private readonly graph: DependencyGraph;
  /** Jobs that others need and that we don't know: over, or not seen yet. */
  private readonly unknown = new Set<JobId>();
  private lookingUp = false;
  private chunkTasks = 0;
  private readonly patience = new Patience();
  private readonly record: FleetRecord;
  /** Jobs within their teams' guarantees, for the jobs that there were then. */
  private guaranteed: { readonly version: number; readonly jobs: Set<JobId> } | null = null;
  private over = false;
  private ready = false;
  private readyAt: Steady | null = null;
  private poked = false;
  private decideMs = 0;
  private fleetDirty = false;
  private stopTick: Cancel | null = null;
  private readonly stopRating: Cancel;

  constructor(
    node: NodeContext,
    epoch: Epoch,
    epochStamp: Stamp,
    grant: Grant,
    private readonly onOver: (why: string) => void,
  ) {
    const { clock, settings } = node;
    this.ctx = {
      ...node,
      epoch,
      epochStamp,
      startedAt: clock.now(),
      jobs: this.jobs,
      hosts: this.hosts,
      sure: () => grant.sure(),
      deposed: (why) => this.end(why),
      ended: () => this.over,
      poke: () => this.poke(),
      cancelled: (id) => this.cancel(id),
      dispatch: (id) => this.wake(id),
      empty: (id) => this.emptyOut(id),
    };
    this.answering = new Answering(node, grant, (newer) => {
      if (newer > epoch) this.end('another node leads a newer epoch');
    });
    this.urgency = new Urgency(settings.objectives);
    this.graph = new DependencyGraph(this.jobs.jobs, (job) => this.urgency.takes(this.runMs(job.spec)));
    this.teams = new Map(settings.teams.map((t) => [t.id, t]));
    const stateBudget = new Budget(clock, 1, 1);
    this.stopRating = node.limits.whenRated(() =>
      stateBudget.setRate(node.limits.writeRps * 0.7, node.limits.writeRps * 0.7),
    );
    const cloudBudget = new Budget(clock, settings.cloudRps * 0.8, settings.cloudRps);
    this.fleet = new FleetManager(
      this.ctx,
      cloudBudget,
      this.lifetimes,
      this.patience,
      this.urgency,
      (host) => this.hostGone(host),
      () => {
        this.fleetDirty = true;
      },
      (within) => this.foreseen(within),
    );
    this.record = new FleetRecord(this.ctx, this.fleet, stateBudget);
    this.committer = new Committer(
      this.ctx,
      stateBudget,
      (tasks) => this.placed(tasks),
      (job) => this.closed(job),
    );
    const onReport = (host: Host, report: Report): void => void this.directReport(host, report);
    this.dispatcher = new Dispatcher(this.ctx, onReport, node.workerCalls);
    this.health = new Health(
      this.ctx,
      aloneMs(node),
      onReport,
      (host, why) => this.fleet.remove(host, why),
      (host) => this.leaseOver(host),
    );
  }

  get epoch(): Epoch {
    return this.ctx.epoch;
  }

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
    let ledger: Stamp | null = null;
    while (!this.over && ledger === null) {
      const began = this.ctx.clock.now();
      try {
        const loading = await loadOpenJobs(this.ctx);
        const fleet = await restoreFleet(this.ctx, this.fleet);
        ledger = loading.ledger;
        for (const job of loading.jobs) this.open(job);
        this.committer.leave(loading.orphans);
        this.record.found(fleet.records);
        for (const { machine, address, at, up } of fleet.machines) {
          const host = this.fleet.adopt(machine, at, address);
          if (host && up) host.up = true;
        }
        this.attachHeld();
        for (const id of loading.cancelled) this.cancel(id);
        this.answering.knew(began);
      } catch (error) {
        this.ctx.log.info({ error: reason(error) }, 'takeover waits for the state service');
        await sleep(this.ctx.clock, 200);
      }
    }
    if (this.over || ledger === null) return;
    this.ready = true;
    this.readyAt = this.ctx.clock.now();
    void this.lookUp();
    this.ctx.log.info(
      { epoch: this.ctx.epoch, jobs: this.jobs.jobs.size, hosts: this.hosts.hosts.size },
      'leadership begun',
    );
    for (const host of this.inOrderOfNeed()) this.dispatcher.wake(host);
    void this.watch(ledger);
    this.loop();
    this.poke();
  }

  /** Whom a new leader meets first: machines with production work, then those with room. */
  private inOrderOfNeed(): Host[] {
    const need = (host: Host): number => {
      for (const task of host.tasks) if (task.job.spec.priority === Priority.Production) return 0;
      return host.free.cpus > 0 ? 1 : 2;
    };
    return [...this.hosts.hosts.values()]
      .filter((host) => host.up || !host.empty)
      .map((host) => ({ host, n: need(host) }))
      .sort((a, b) => a.n - b.n)
      .map((x) => x.host);
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
    this.fenceCancelled(now);
    if (this.ctx.sure()) {
      this.health.tick(now);
      this.fleet.tick();
      this.nudge(now);
    } else {
      this.health.unsure(now);
      void this.answering.ask();
    }
    if (this.fleet.takeDirty()) this.fleetDirty = true;
    if (this.fleetDirty && this.record.mayWrite(now)) void this.save();
    this.poke();
  }

  /**
   * A host that keeps a cancelled task is fenced well before the cancellation's limit, sure or not: a
   * machine that hangs goes on with the task otherwise, and while the state service is out nobody is sure.
   */
  private fenceCancelled(now: Steady): void {
    // A leader that has just begun has not been told yet what is gone.
    if (this.readyAt === null || since(now, this.readyAt) < MEETING_MS) return;
    const limit = this.ctx.settings.cancelWithin * CANCEL_PATIENCE;
    for (const host of this.hosts.hosts.values()) {
      for (const task of host.tasks) {
        if (task.kill?.why !== 'cancelled' || since(now, task.kill.at) <= limit) continue;
        this.fleet.remove(host, 'cancelled task not gone', true);
        break;
      }
    }
  }

  /** Progress keeps to smaller records from the moment on when every controller reads them, or they have to be. */
  private resize(now: Steady): void {
    const { limits } = this.ctx;
    const size = limits.chunkTasks(Infinity);
    if (size === this.chunkTasks) return;
    this.chunkTasks = size;
    for (const job of this.jobs.jobs.values()) job.rechunk(limits.chunkTasks(job.spec.tasks), now);
    this.committer.poke();
  }

  /** Repeats what has not been carried out yet. */
  private nudge(now: Steady): void {
    for (const host of this.hosts.hosts.values()) {
      if (host.takenAt !== null) this.drainNoticed(host, now);
      if (!host.known && host.address !== '' && (host.listed || host.up || !host.empty)) {
        this.dispatcher.wake(host);
      }
    }
  }

  /** The cloud takes this machine: work that can save is stopped in time to do so. */
  private drainNoticed(host: Host, now: Steady): void {
    for (const task of host.tasks) {
      const { checkpointS, saveS } = task.job.spec;
      if (task.kill || task.phase !== 'placed' || host.takenAt === null) continue;
      if (checkpointS > 0 && host.takenAt - now < (saveS + 4) * 1000) {
        task.kill = { graceS: saveS + 1, why: 'drain', at: now };
        this.dispatcher.wake(host);
      }
    }
  }

  private open(job: OpenJob): void {
    if (!this.jobs.add(job)) return;
    this.depend(job);
    this.followCancelled(job);
    if (this.ctx.cancellations.has(job.spec.id)) this.cancel(job.spec.id);
    // What waits for others is no new demand of this slot; the fleet foresees it (`foreseen`).
    else if (job.tasks.size === 0 && !job.blocked && !job.cancelled) this.fleet.demanded(job);
  }

  // Dependencies

  /** What it has to wait for, and what others that wait for it ask of it. */
  private depend(job: OpenJob): void {
    const { id, dependencies, dependencyRecords } = job.spec;
    // Once begun, all that it needs was done: that is final.
    if (job.tasks.size === 0) {
      for (const needed of dependencies) this.needs(job, needed);
      if (dependencyRecords > 0) {
        job.unread = true;
        void this.readRest(id, dependencyRecords);
      }
    }
    this.graph.join(job);
    void this.lookUp();
  }

  private needs(job: OpenJob, id: JobId): void {
    if (this.jobs.endOf(id) === 'done') return;
    job.waitsFor.add(id);
    if (!this.jobs.jobs.has(id)) this.unknown.add(id);
  }

  /**
   * A job that it needs was cancelled before this one became known: the cancellation found no dependent to
   * take along. A node whose view is a moment old accepts such a job as one that waits.
   */
  private followCancelled(job: OpenJob): void {
    const cancelled = [...job.waitsFor].some(
      (id) =>
        this.jobs.endOf(id) === 'cancelled' ||
        this.ctx.cancellations.has(id) ||
        this.jobs.jobs.get(id)?.cancelled,
    );
    if (!cancelled || job.cancelled) return;
    job.doomed = true;
    this.stop(job);
  }

  private async readRest(id: JobId, records: number): Promise<void> {
    while (!this.over) {
      try {
        const rest = await readDependencies(this.ctx, id, records);
        await this.lock.runExclusive(() => {
          const job = this.jobs.jobs.get(id);
          if (!job || job.cancelled) return;
          for (const needed of rest) this.needs(job, needed);
          job.unread = false;
          this.graph.join(job);
          this.followCancelled(job);
          if (!job.blocked && !job.cancelled) this.release([job]);
        });
        await this.lookUp();
        return;
      } catch (error) {
        this.ctx.log.debug({ job: id, error: reason(error) }, 'dependencies not read yet');
        await sleep(this.ctx.clock, READ_AGAIN_MS);
      }
    }
  }

  /** Asks the records about jobs that others need and that are over, or were accepted a moment ago. */
  private async lookUp(): Promise<void> {
    if (this.lookingUp || !this.ready) return;
    this.lookingUp = true;
    while (this.unknown.size > 0 && !this.over) {
      for (const id of this.unknown) {
        try {
          const row = this.jobs.jobs.has(id) ? null : await this.ctx.store.get(keys.job(id));
          this.unknown.delete(id);
          await this.lock.runExclusive(() => {
            // One that is still accepted is known by now, or its watch brings it.
            const state = row ? decodeJob(id, row.value).state : 'accepted';
            if (state === 'done') this.release(this.graph.done(id));
            else if (state === 'cancelled') this.cancel(id);
          });
        } catch (error) {
          this.ctx.log.debug({ job: id, error: reason(error) }, 'dependency not read yet');
          await sleep(this.ctx.clock, 100 + this.ctx.random() * 100);
        }
        if (this.over) break;
      }
    }
    this.lookingUp = false;
  }

  /** All that they need is done, durably: they may start, and their times count from now. */
  private release(jobs: readonly OpenJob[]): void {
    if (jobs.length === 0) return;
    for (const job of jobs) job.ready(this.ctx.clock.wall());
    this.jobs.version++;
    this.poke();
  }

  /** Work that waits for other jobs and will probably be released within this time. */
  private foreseen(within: number): OpenJob[] {
    const now = this.ctx.clock.now();
    const list: OpenJob[] = [];
    for (const job of this.jobs.jobs.values()) {
      if (!job.blocked || job.unread || job.cancelled) continue;
      let ready = 0;
      for (const id of job.waitsFor) ready = Math.max(ready, this.endsIn(this.jobs.jobs.get(id), now));
      if (ready <= within) list.push(job);
    }
    return list;
  }

  /** Until a job will be done; what waits for others or for room itself is not foreseen. */
  private endsIn(job: OpenJob | undefined, now: Steady): number {
    if (!job || job.blocked || job.waiting > 0 || job.lastRunAt === null) return Infinity;
    return Math.max(0, this.runMs(job.spec) - since(now, job.lastRunAt));
  }

  /** Every task that may be on a machine holds its place there, known machine or not. */
  private attachHeld(): void {
    for (const job of this.jobs.jobs.values()) {
      for (const task of job.held()) {
        const host = task.host === null ? undefined : this.hosts.hosts.get(task.host);
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

  private async watch(from: Stamp): Promise<void> {
    let after = from;
    while (!this.over) {
      try {
        const sentAt = this.ctx.clock.now();
        const read = await this.ctx.store.changes(keys.jobs, after, WATCH_MS);
        if (this.over) return;
        if (read === null) {
          after = await this.resync();
          continue;
        }
        after = read.ledger;
        await this.lock.runExclusive(() => {
          for (const change of read.changes) this.jobChanged(change.key, change.value, change.stamp);
        });
        const now = this.ctx.clock.now();
        this.answering.knew(watchedUpTo(sentAt, WATCH_MS, read.changes.length > 0, now));
      } catch (error) {
        this.ctx.log.debug({ error: reason(error) }, 'watch interrupted');
        await sleep(this.ctx.clock, 100 + this.ctx.random() * 150);
      }
    }
  }

  private async resync(): Promise<Stamp> {
    const began = this.ctx.clock.now();
    const loading = await loadOpenJobs(this.ctx);
    for (const job of loading.jobs) this.open(job);
    this.committer.leave(loading.orphans);
    for (const id of loading.cancelled) this.cancel(id);
    this.answering.knew(began);
    this.poke();
    return loading.ledger;
  }

  private jobChanged(key: string, value: unknown, stamp: Stamp): void {
    if (value === undefined) return;
    const id = key.slice(keys.jobs.length) as JobId;
    const record = decodeJob(id, value);
    if (record.state === 'accepted') void this.accepted(record, stamp);
    else if (record.state === 'cancelled') this.cancel(id);
  }

  private async accepted(record: JobRecord, stamp: Stamp): Promise<void> {
    if (record.spec.descriptionRecords === 0) {
      this.opened(record, stamp);
      return;
    }
    while (!this.over) {
      try {
        const whole = await readDescription(this.ctx, record);
        await this.lock.runExclusive(() => this.opened(whole, stamp));
        return;
      } catch (error) {
        this.ctx.log.debug({ job: record.spec.id, error: reason(error) }, 'description not read yet');
        await sleep(this.ctx.clock, READ_AGAIN_MS);
      }
    }
  }

  private opened(record: JobRecord, stamp: Stamp): void {
    this.open(openJob(this.ctx, record, stamp));
    this.poke();
  }

  /** Confirmed to a user: told by another controller, or seen in the record. */
  cancelled(ids: readonly JobId[]): void {
    if (!this.over) void this.lock.runExclusive(() => ids.forEach((id) => this.cancel(id)));
  }

  private cancel(id: JobId): void {
    this.ctx.cancellations.learn([{ id, age: ms(0) }]);
    this.unknown.delete(id);
    const below = this.graph.below(id);
    const job = this.jobs.jobs.get(id);
    // Everything that needs it goes with it: nothing of that can have started.
    for (const one of below) {
      if (one.cancelled) continue;
      one.doomed = true;
      this.stop(one);
    }
    if (job && !job.cancelled) this.stop(job);
  }

  private stop(job: OpenJob): void {
    const { id } = job.spec;
    const now = this.ctx.clock.now();
    this.graph.leave(job);
    // Counted from when it was first heard of here, not from our takeover.
    const at = this.ctx.cancellations.at(id) ?? now;
    job.cancelled = true;
    const wake = new Set<Host>();
    for (const task of [...job.held()]) {
      const host = task.host === null ? undefined : this.hosts.hosts.get(task.host);
      if (task.phase === 'deciding' || (task.sentTenure === null && !task.inherited)) {
        // No order has left: the task cannot be on the machine.
        host?.drop(task);
        job.release(task, now);
      } else {
        if (job.spec.kind === 'service' && task.runningAt !== null) {
          this.lifetimes.add(job.spec.jobClass, now - task.runningAt);
        }
        task.kill = { graceS: 0, why: 'cancelled', at };
        if (host) wake.add(host);
      }
    }
    this.jobs.changed(job);
    for (const host of wake) this.dispatcher.wake(host);
    this.committer.poke();
    this.poke();
  }

  private emptyOut(id: HostId): void {
    const host = this.hosts.hosts.get(id);
    if (!host || host.closed) return;
    host.closed = 'emptying';
    const now = this.ctx.clock.now();
    for (const task of host.tasks) {
      const { checkpointS, saveS } = task.job.spec;
      if (task.phase !== 'placed' || task.kill) continue;
      task.kill = { graceS: checkpointS > 0 ? saveS + 1 : 0, why: 'drain', at: now };
    }
    this.dispatcher.wake(host);
  }

  private wake(id: HostId): void {
    const host = this.hosts.hosts.get(id);
    if (host) this.dispatcher.wake(host);
  }

  private poke(): void {
    if (this.poked || this.over || !this.ready) return;
    this.poked = true;
    // A decision that took long is followed by a longer pause: reports go first.
    this.ctx.clock.after(Math.max(DECIDE_MS, this.decideMs * DECIDE_PAUSE), () => {
      this.poked = false;
      if (this.over) return;
      void this.lock.runExclusive(() => {
        const began = this.ctx.clock.now();
        this.decide(began);
        this.decideMs = since(this.ctx.clock.now(), began);
      });
    });
  }

  private decide(now: Steady): void {
    const open: OpenJob[] = [];
    const waiting: JobView[] = [];
    for (const job of this.jobs.jobs.values()) {
      if (job.cancelled || job.complete || job.blocked) continue;
      open.push(job);
      if (job.waiting > 0) waiting.push(this.jobView(job, now));
    }
    if (waiting.length === 0) {
      this.fleet.unmet([]);
      return;
    }
    const machines: MachineView[] = [];
    for (const host of this.hosts.hosts.values()) {
      if (host.closed || !host.known || host.takenAt !== null || host.unreached) continue;
      machines.push(machineView(host));
    }
    if (this.guaranteed?.version !== this.jobs.version) {
      this.guaranteed = { version: this.jobs.version, jobs: guaranteedJobs(open, this.teams) };
    }
    const guaranteed = this.guaranteed.jobs;
    const plan = place({
      jobs: waiting,
      machines,
      guaranteed,
      teams: this.teams,
      use: this.jobs.teamUse(),
      victimsOf: this.victimsAmong(open, waiting, guaranteed, now),
    });
    const making = new Set<Host>();
    for (const stop of plan.stops) {
      const host = this.hosts.hosts.get(stop.host);
      for (const task of host?.tasks ?? []) {
        if (task.id !== stop.task || task.phase !== 'placed' || task.kill) continue;
        task.kill = { graceS: 0, why: 'room', at: now };
        if (host) making.add(host);
      }
    }
    if (plan.stops.length > 0) this.ctx.log.info({ stops: plan.stops.length }, 'making room');
    for (const start of plan.starts) {
      const job = this.jobs.jobs.get(start.job);
      const host = this.hosts.hosts.get(start.host);
      if (!job || !host) continue;
      const task = job.decide(host.id, host.machine.zone, now);
      host.put(task);
      host.idleSince = null;
      // The stop and the start leave together, once the start is committed.
      making.delete(host);
    }
    for (const host of making) this.dispatcher.wake(host);
    const queue: QueuedWork[] = plan.unmet.map(({ job, tasks }) => ({
      spec: job.spec,
      tasks,
      runMs: this.runMs(job.spec),
      ...this.waitAfterBoot(job),
    }));
    this.fleet.unmet(queue);
    this.committer.poke();
  }

  /**
   * Who may be stopped at all is looked up by job, and only once somebody asks: mostly nobody does,
   * or nothing may be stopped.
   */
  private victimsAmong(
    open: readonly OpenJob[],
    waiting: readonly JobView[],
    guaranteed: ReadonlySet<JobId>,
    now: Steady,
  ): (id: HostId) => Victim[] {
    const production = waiting.some((j) => j.spec.priority === Priority.Production);
    let stoppable: Set<HostId> | null = null;
    return (id) => {
      if (!stoppable) {
        stoppable = new Set();
        for (const job of open) {
          if (job.heldCount === 0 || job.spec.priority === Priority.Production) continue;
          if (!production && guaranteed.has(job.spec.id)) continue;
          for (const task of job.held()) if (task.host !== null) stoppable.add(task.host);
        }
      }
      const host = stoppable.has(id) ? this.hosts.hosts.get(id) : undefined;
      return host ? victims(host, now) : [];
    };
  }

  private runMs(spec: JobSpec): number {
    return this.lifetimes.expected(spec.jobClass, spec.estimateS * 1000);
  }

  /** What a machine rented now can still save: the job's next target that its boot leaves reachable. */
  private waitAfterBoot(job: JobView): { slackMs: number | null; patience: number } {
    const age = Math.max(0, this.ctx.clock.wall() - job.readyAt) + this.fleet.slowestBoot();
    const target = this.urgency.next(job.spec, age, this.runMs(job.spec));
    return {
      slackMs: this.urgency.slack(job.spec, age, this.runMs(job.spec)),
      patience: this.patience.factor(job.spec.jobClass, target?.allowed ?? 0.1),
    };
  }

  private jobView(job: OpenJob, now: Steady): JobView {
    const age = Math.max(0, this.ctx.clock.wall() - job.readyAt);
    const slackMs = this.urgency.slack(job.ranked, age, this.runMs(job.spec));
    return jobView(job, now, slackMs, isStarving(job, age, now));
  }

  /** Committed: only now may run orders leave. */
  private placed(tasks: Task[]): void {
    const now = this.ctx.clock.now();
    const wake = new Set<Host>();
    for (const task of tasks) {
      const host = task.host === null ? undefined : this.hosts.hosts.get(task.host);
      if (!host || host.removing || task.job.cancelled) {
        host?.drop(task);
        task.job.release(task, now);
        this.poke();
      } else wake.add(host);
      if (host && task.job.spec.kind === 'service') {
        this.ctx.log.info({ task: task.id, tryNo: task.tryNo, host: host.id }, 'replica placed');
      }
    }
    for (const host of wake) this.dispatcher.wake(host);
  }

  /** A worker's report, straight or through another node. */
  async beat(report: Report, via: MemberId): Promise<Answer> {
    return this.lock.runExclusive(() => this.takeBeat(report, via));
  }

  private takeBeat(report: Report, via: MemberId): Answer {
    // Past the grant's sure life a leader only keeps leases alive, and only for a while.
    if (this.over || !this.answering.may(this.ctx.clock.now())) return { status: 503 };
    const seen = epochOfToken(report.token);
    if (seen > this.ctx.epoch) {
      this.end('a worker knows a newer epoch');
      return { status: 503 };
    }
    if (this.hosts.isGone(report.host)) return { status: 503 };
    const now = this.ctx.clock.now();
    // Of no use to anybody whoever leads, and safe to say without being sure: an attempt is never used again.
    const unwanted = killsOf(report, (id) => this.ctx.cancellations.has(id));
    const stranger: Answer = { status: 200, body: ordersBody(tokenOf(this.ctx.epoch, 0 as Round), unwanted) };
    // A machine that we do not know may be long gone, and this a late copy of what it once said: only
    // a report that knows our epoch was made in our time. A living worker's next one does.
    if (!this.ready) {
      // While we still read what there is, a lease may run from this answer. Nothing is learned from the report:
      // all that it shows would look like what nobody wants.
      this.health.answeredStranger(now);
      return stranger;
    }
    if (!this.hosts.hosts.has(report.host) && seen < this.ctx.epoch) return stranger;
    const machine: Machine = { id: report.host, type: report.type, zone: report.zone, spot: report.spot };
    const host = this.fleet.adopt(machine, now);
    if (!host) return stranger;
    if (host.address === '') host.address = report.address;
    // Reports of earlier epochs may be minutes old: they prove nothing, not even life.
    const fresh = seen === this.ctx.epoch && (!host.known || host.newer(report));
    if (!fresh) {
      host.learnTenure(report, now);
      if (!host.known) this.dispatcher.wake(host);
    } else {
      host.reported(report, via, now);
      this.health.heard(host, now);
      this.told(host, applyReport(host, report, this.ctx.epoch, this.jobs, now));
    }
    // Even a late copy's answer may reach a worker that waits for one: its lease counts from here.
    if (fresh) host.answered(report, via, now);
    else host.answeredAt = now;
    const ordering = fresh && this.ctx.sure() && this.ready;
    if (ordering ? needsRaise(host, host.token(this.ctx.epoch)) : mustForget(host, this.ctx.epoch))
      host.raise();
    const token = host.token(this.ctx.epoch);
    if (!ordering) return { status: 200, body: ordersBody(token, unwanted) };
    const orders: Order[] = [...ordersFor(host, now, true), ...clearsFor(host, token)].slice(0, MOST_ORDERS);
    markSent(host, orders, token);
    return { status: 200, body: ordersBody(token, orders) };
  }

  private async directReport(host: Host, report: Report): Promise<void> {
    await this.lock.runExclusive(() => {
      if (this.over || report.host !== host.id) return;
      const seen = epochOfToken(report.token);
      if (seen > this.ctx.epoch) {
        this.end('a worker knows a newer epoch');
        return;
      }
      const now = this.ctx.clock.now();
      if (seen === this.ctx.epoch && host.newer(report)) this.health.heard(host, now);
      this.told(host, applyReport(host, report, this.ctx.epoch, this.jobs, now));
      const another = host.learnTenure(report, now);
      if (another || (host.known && ordersFor(host, now, this.ctx.sure()).length > 0))
        this.dispatcher.wake(host);
    });
  }

  private told(host: Host, told: Told): void {
    const { log, clock, ops } = this.ctx;
    const now = clock.now();
    for (const { job } of told.started) {
      job.firstRunAt ??= now;
      job.lastRunAt = now;
    }
    for (const { task, ranMs } of told.finished) {
      if (ranMs === null) continue;
      this.lifetimes.add(task.job.spec.jobClass, ranMs, task.job.spec.estimateS * 1000);
    }
    for (const { task, cause } of told.failed) {
      if (cause !== 'stopped')
        log.info({ host: host.id, task: task.id, cause }, 'task ended without success');
      if (cause === 'error') this.failed(host, task.job, now);
    }
    for (const task of told.lost) log.info({ host: host.id, task: task.id }, 'task lost with its session');
    if (host.closed === null && host.failures >= ops.workers.sick_errors) {
      // Replicas that still run here are left alone: the machine goes back when they have ended.
      log.info({ host: host.id, failures: host.failures }, 'machine is sick');
      host.closed = 'sick';
    }
    if (told.changed) {
      this.committer.poke();
      this.poke();
    }
  }

  /**
   * Mostly the machine is at fault. A job that fails on a second machine is more likely at fault
   * itself: it counts against no further machine, and after a third it waits.
   */
  private failed(host: Host, job: OpenJob, now: Steady): void {
    job.failures++;
    job.failedOn.add(host.id);
    if (job.failedOn.size <= 1 || host.failedJobs.size > 0) {
      host.failures++;
      host.failedJobs.add(job.spec.id);
    }
    if (job.failedOn.size < 3) return;
    const backoff = Math.min(60_000, 1000 * 2 ** Math.min(6, job.failures - 2));
    job.notBefore = plus(now, backoff);
  }

  /** Judged by the first target that renting for the job could have met. */
  private learnPatience(job: OpenJob): void {
    const target = this.urgency.next(job.ranked, this.fleet.slowestBoot(), this.runMs(job.spec));
    if (!target) return;
    const age = this.ctx.clock.wall() - job.readyAt;
    this.patience.over(job.spec.jobClass, age > target.ms, target.allowed);
  }

  private closed(job: OpenJob): void {
    const { id, jobClass, tasks, estimateS } = job.spec;
    const now = this.ctx.clock.now();
    const ago = (at: Steady | null): number | null =>
      at === null ? null : Math.round((now - at) / 100) / 10;
    if (!job.cancelled) {
      this.learnPatience(job);
      this.release(this.graph.done(id));
    }
    const ageS = Math.round((this.ctx.clock.wall() - job.acceptedAt) / 100) / 10;
    this.ctx.log.info(
      {
        job: id,
        jobClass,
        tasks,
        cancelled: job.cancelled,
        estimateS,
        ageS,
        firstRunAgoS: ago(job.firstRunAt),
        lastRunAgoS: ago(job.lastRunAt),
        lost: job.lost,
      },
      'job closed',
    );
  }

  private hostGone(host: Host): void {
    const lost = loseAll(host, this.ctx.clock.now());
    if (lost.length > 0)
      this.ctx.log.info(
        { host: host.id, tasks: lost.length, some: lost.slice(0, 4).map((t) => t.id) },
        'tasks freed from a machine proven gone',
      );
    this.committer.poke();
  }

  private leaseOver(host: Host): void {
    const lost = loseAll(host, this.ctx.clock.now());
    if (lost.length === 0) return;
    this.ctx.log.info({ host: host.id, tasks: lost.length }, 'tasks freed: the lease has run out');
    this.poke();
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
    return [...this.jobs.jobs.values()]
      .filter((j) => !j.cancelled)
      .map((j) => ({ id: j.spec.id, done: j.done, running: j.running }));
  }

  summary(): object {
    return summaryOf(this.jobs, this.hosts);
  }
}
