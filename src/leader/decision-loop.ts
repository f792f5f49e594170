/** Decides, whenever something has changed, which tasks start where and which machines are wanted for the rest. */
import type { Mutex } from 'async-mutex';
import type { QueuedWork } from '../fleet/backlog.js';
import type { FleetManager } from '../fleet/fleet-manager.js';
import type { Lifetimes } from '../forecast/lifetimes.js';
import type { HostId, JobId, TeamId } from '../model/ids.js';
import { Priority } from '../model/job.js';
import type { Team } from '../model/team.js';
import { type Steady, since } from '../model/time.js';
import type { OpenJob } from '../scheduler/active-job.js';
import type { Task } from '../scheduler/task.js';
import { place } from '../scheduler/placement.js';
import { guaranteedJobs } from '../scheduler/queue.js';
import type { JobView, MachineView, Plan, Stop, Victim } from '../scheduler/snapshot.js';
import type { SlackFactors } from '../scheduler/slack-factors.js';
import { isStarving, type Urgency } from '../scheduler/urgency.js';
import type { Committer } from './committer.js';
import type { Dispatcher } from '../workers/command-dispatcher.js';
import type { Host } from '../workers/state/worker.js';
import type { LeaderContext } from '../core/context.js';
import { jobView, machineView, victims } from './placement-views.js';

/**
 * What asks for a decision within this is decided together: at size that also means fewer transactions,
 * and fewer calls to machines that get several tasks.
 */
const DECIDE_MS = 40;
/** The pause after a decision, in times of what it took. */
const DECIDE_PAUSE = 3;
/** Where no target says what share may miss it. */
const DEFAULT_ALLOWED = 0.1;

/** What decisions are made by and carried out with. */
interface DecisionParts {
  readonly fleet: FleetManager;
  readonly committer: Committer;
  readonly dispatcher: Dispatcher;
  readonly lifetimes: Lifetimes;
  readonly urgency: Urgency;
  readonly slackFactors: SlackFactors;
  readonly lock: Mutex;
}

/** One decision at a time, each over a snapshot of what the leader knows. */
export class DecisionLoop {
  private readonly teams: ReadonlyMap<TeamId, Team>;
  /** Jobs within their teams' guarantees, for the jobs that there were then. */
  private guaranteed: { readonly version: number; readonly jobs: Set<JobId> } | null = null;
  private started = false;
  private requested = false;
  private lastTookMs = 0;

  constructor(
    private readonly ctx: LeaderContext,
    private readonly parts: DecisionParts,
  ) {
    this.teams = new Map(ctx.settings.teams.map((team) => [team.id, team]));
  }

  /** The records have been read: decisions may be made. */
  start(): void {
    this.started = true;
    this.request();
  }

  /** Something changed that decisions depend on. */
  request(): void {
    if (this.requested || !this.started || this.ctx.ended()) return;
    this.requested = true;
    // A decision that took long is followed by a longer pause: reports go first.
    this.ctx.clock.after(Math.max(DECIDE_MS, this.lastTookMs * DECIDE_PAUSE), () => {
      this.requested = false;
      if (!this.ctx.ended()) void this.parts.lock.runExclusive(() => this.decideNow());
    });
  }

  /** Committed: only now may run orders leave. */
  placed(tasks: readonly Task[]): void {
    const now = this.ctx.clock.now();
    const wake = new Set<Host>();
    for (const task of tasks) {
      const host = task.host === null ? undefined : this.ctx.hosts.get(task.host);
      if (!host || host.removing || task.job.cancelled) {
        host?.drop(task);
        task.job.release(task, now);
        this.request();
      } else wake.add(host);
      if (host && task.job.spec.kind === 'service') {
        this.ctx.log.info({ task: task.id, tryNo: task.tryNo, host: host.id }, 'replica placed');
      }
    }
    for (const host of wake) this.parts.dispatcher.wake(host);
  }

  private decideNow(): void {
    const began = this.ctx.clock.now();
    this.decide(began);
    this.lastTookMs = since(this.ctx.clock.now(), began);
  }

  private decide(now: Steady): void {
    const open = [...this.ctx.jobs.values()].filter((job) => !job.cancelled && !job.complete && !job.blocked);
    const waiting = open.filter((job) => job.waiting > 0).map((job) => this.viewOf(job, now));
    if (waiting.length === 0) {
      this.parts.fleet.unmet([]);
      return;
    }
    const guaranteed = this.guaranteedAmong(open);
    const plan = place({
      jobs: waiting,
      machines: this.machines(),
      guaranteed,
      teams: this.teams,
      use: this.ctx.jobs.teamUse(),
      victimsOf: this.victimsAmong(open, waiting, guaranteed, now),
    });
    this.carryOut(plan, now);
    this.parts.fleet.unmet(plan.unmet.map(({ job, tasks }) => this.queued(job, tasks)));
    this.parts.committer.schedule();
  }

  private machines(): MachineView[] {
    const machines: MachineView[] = [];
    for (const host of this.ctx.hosts.values()) {
      if (host.closed || !host.known || host.takenAt !== null || host.unreached) continue;
      if (host.confirmed) machines.push(machineView(host, host.confirmed));
    }
    return machines;
  }

  private guaranteedAmong(open: readonly OpenJob[]): ReadonlySet<JobId> {
    const { version } = this.ctx.jobs;
    if (this.guaranteed?.version !== version) {
      this.guaranteed = { version, jobs: guaranteedJobs(open, this.teams) };
    }
    return this.guaranteed.jobs;
  }

  private carryOut(plan: Plan, now: Steady): void {
    const makingRoom = this.stop(plan, now);
    for (const start of plan.starts) {
      const job = this.ctx.jobs.get(start.job);
      const host = this.ctx.hosts.get(start.host);
      if (!job || !host?.confirmed) continue;
      host.put(job.decide(host.id, host.confirmed.machine.zone, now));
      host.idleSince = null;
      // The stop and the start leave together, once the start is committed.
      makingRoom.delete(host);
    }
    for (const host of makingRoom) this.parts.dispatcher.wake(host);
  }

  /** The hosts on which tasks are stopped to make room. */
  private stop({ stops }: Plan, now: Steady): Set<Host> {
    const hosts = new Set<Host>();
    for (const stop of stops) {
      const host = this.ctx.hosts.get(stop.host);
      for (const task of host?.tasks ?? []) {
        if (task.id !== stop.task || task.phase !== 'placed' || task.kill) continue;
        task.kill = { graceS: 0, why: 'room', at: now };
        if (host) hosts.add(host);
      }
    }
    if (stops.length > 0)
      this.ctx.log.info({ stops: stops.length, for: this.classesOf(stops) }, 'making room');
    return hosts;
  }

  /** How many tasks are stopped for jobs of which class. */
  private classesOf(stops: readonly Stop[]): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const stop of stops) {
      const jobClass = this.ctx.jobs.get(stop.for)?.spec.jobClass ?? '';
      counts[jobClass] = (counts[jobClass] ?? 0) + 1;
    }
    return counts;
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
    const production = waiting.some((job) => job.spec.priority === Priority.Production);
    let stoppable: Set<HostId> | null = null;
    return (id) => {
      stoppable ??= hostsOf(
        open.filter(
          ({ heldCount, spec }) =>
            heldCount > 0 &&
            spec.priority !== Priority.Production &&
            (production || !guaranteed.has(spec.id)),
        ),
      );
      const host = stoppable.has(id) ? this.ctx.hosts.get(id) : undefined;
      return host ? victims(host, now) : [];
    };
  }

  private queued(job: JobView, tasks: number): QueuedWork {
    const runMs = this.parts.lifetimes.expectedRun(job.spec);
    return { spec: job.spec, tasks, zones: job.zones, runMs, ...this.waitAfterBoot(job, runMs) };
  }

  /** What a machine rented now can still save: the job's next target that its boot leaves reachable. */
  private waitAfterBoot(job: JobView, runMs: number): { slackMs: number | null; slackFactor: number } {
    const { fleet, urgency, slackFactors } = this.parts;
    const age = Math.max(0, this.ctx.clock.wall() - job.readyAt) + fleet.slowestBoot();
    const target = urgency.next(job.spec, age, runMs);
    return {
      slackMs: urgency.slack(job.spec, age, runMs),
      slackFactor: slackFactors.factor(job.spec.jobClass, target?.allowed ?? DEFAULT_ALLOWED),
    };
  }

  private viewOf(job: OpenJob, now: Steady): JobView {
    const age = Math.max(0, this.ctx.clock.wall() - job.readyAt);
    const slackMs = this.parts.urgency.slack(job.ranked, age, this.parts.lifetimes.expectedRun(job.spec));
    return jobView(job, now, age, slackMs, isStarving(job, age, now));
  }
}

function hostsOf(jobs: readonly OpenJob[]): Set<HostId> {
  const hosts = new Set<HostId>();
  for (const job of jobs) for (const task of job.held()) if (task.host !== null) hosts.add(task.host);
  return hosts;
}
