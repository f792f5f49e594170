/** Decides, whenever something has changed, which tasks start where and which machines are wanted for the rest. */
import type { Mutex } from 'async-mutex';
import type { QueuedWork } from '../fleet/backlog.js';
import type { FleetManager } from '../fleet/fleet-manager.js';
import type { Lifetimes } from '../forecast/lifetimes.js';
import type { MachineId, JobId, TeamId } from '../model/ids.js';
import { Priority } from '../model/job.js';
import type { Team } from '../model/team.js';
import { type MonotonicTime, since } from '../model/time.js';
import type { ActiveJob } from '../scheduler/active-job.js';
import type { Task } from '../scheduler/task.js';
import { place } from '../scheduler/placement.js';
import { guaranteedJobs } from '../scheduler/queue.js';
import type { JobView, MachineView, PlacementPlan, Preemption, Victim } from '../scheduler/snapshot.js';
import type { SlackFactors } from '../scheduler/slack-factors.js';
import type { SloTargets } from '../scheduler/slo-targets.js';
import { isStarving } from '../scheduler/starvation.js';
import type { Committer } from './committer.js';
import type { CommandDispatcher } from '../workers/command-dispatcher.js';
import type { Worker } from '../workers/state/worker.js';
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
  readonly dispatcher: CommandDispatcher;
  readonly lifetimes: Lifetimes;
  readonly sloTargets: SloTargets;
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
    if (this.requested || !this.started || this.ctx.isEnded()) return;
    this.requested = true;
    // A decision that took long is followed by a longer pause: reports go first.
    this.ctx.clock.after(Math.max(DECIDE_MS, this.lastTookMs * DECIDE_PAUSE), () => {
      this.requested = false;
      if (!this.ctx.isEnded()) void this.parts.lock.runExclusive(() => this.decideNow());
    });
  }

  /** Committed: only now may run orders leave. */
  placed(tasks: readonly Task[]): void {
    const now = this.ctx.clock.now();
    const wake = new Set<Worker>();
    for (const task of tasks) {
      const worker = task.machine === null ? undefined : this.ctx.workers.get(task.machine);
      if (!worker || worker.isRemoving || task.job.isCancelled) {
        worker?.unassign(task);
        task.job.releaseTask(task, now);
        this.request();
      } else wake.add(worker);
      if (worker && task.job.spec.kind === 'service') {
        this.ctx.log.info(
          { task: task.id, attemptNumber: task.attemptNumber, worker: worker.id },
          'replica placed',
        );
      }
    }
    for (const worker of wake) this.parts.dispatcher.dispatch(worker);
  }

  private decideNow(): void {
    const began = this.ctx.clock.now();
    this.decide(began);
    this.lastTookMs = since(this.ctx.clock.now(), began);
  }

  private decide(now: MonotonicTime): void {
    const open = [...this.ctx.jobs.values()].filter(
      (job) => !job.isCancelled && !job.isComplete && !job.isBlocked,
    );
    const waiting = open.filter((job) => job.waitingCount > 0).map((job) => this.viewOf(job, now));
    if (waiting.length === 0) {
      this.parts.fleet.setBacklog([]);
      return;
    }
    const guaranteed = this.guaranteedAmong(open);
    const plan = place({
      jobs: waiting,
      machines: this.machines(),
      guaranteed,
      teams: this.teams,
      teamUsage: this.ctx.jobs.teamUsage(),
      victimsOf: this.victimsAmong(open, waiting, guaranteed, now),
    });
    this.carryOut(plan, now);
    this.parts.fleet.setBacklog(plan.unmet.map(({ job, tasks }) => this.queued(job, tasks)));
    this.parts.committer.schedule();
  }

  private machines(): MachineView[] {
    const machines: MachineView[] = [];
    for (const worker of this.ctx.workers.values()) {
      if (worker.cordon || !worker.hasReported || worker.interruptionAt !== null || worker.isUnreachable)
        continue;
      if (worker.confirmedFacts) machines.push(machineView(worker, worker.confirmedFacts));
    }
    return machines;
  }

  private guaranteedAmong(open: readonly ActiveJob[]): ReadonlySet<JobId> {
    const { version } = this.ctx.jobs;
    if (this.guaranteed?.version !== version) {
      this.guaranteed = { version, jobs: guaranteedJobs(open, this.teams) };
    }
    return this.guaranteed.jobs;
  }

  private carryOut(plan: PlacementPlan, now: MonotonicTime): void {
    const makingRoom = this.stop(plan, now);
    for (const start of plan.starts) {
      const job = this.ctx.jobs.get(start.job);
      const worker = this.ctx.workers.get(start.machine);
      if (!job || !worker?.confirmedFacts) continue;
      worker.assign(job.beginAttempt(worker.id, worker.confirmedFacts.machine.zone, now));
      worker.idleSince = null;
      // The stop and the start leave together, once the start is committed.
      makingRoom.delete(worker);
    }
    for (const worker of makingRoom) this.parts.dispatcher.dispatch(worker);
  }

  /** The hosts on which tasks are stopped to make room. */
  private stop({ preemptions }: PlacementPlan, now: MonotonicTime): Set<Worker> {
    const workers = new Set<Worker>();
    for (const stop of preemptions) {
      const worker = this.ctx.workers.get(stop.machine);
      for (const task of worker?.tasks ?? []) {
        if (task.id !== stop.task || task.phase !== 'placed' || task.pendingStop) continue;
        task.pendingStop = { graceS: 0, reason: 'preempted', since: now };
        if (worker) workers.add(worker);
      }
    }
    if (preemptions.length > 0)
      this.ctx.log.info({ stops: preemptions.length, for: this.classesOf(preemptions) }, 'making room');
    return workers;
  }

  /** How many tasks are stopped for jobs of which class. */
  private classesOf(stops: readonly Preemption[]): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const stop of stops) {
      const jobClass = this.ctx.jobs.get(stop.preemptor)?.spec.jobClass ?? '';
      counts[jobClass] = (counts[jobClass] ?? 0) + 1;
    }
    return counts;
  }

  /**
   * Who may be stopped at all is looked up by job, and only once somebody asks: mostly nobody does,
   * or nothing may be stopped.
   */
  private victimsAmong(
    open: readonly ActiveJob[],
    waiting: readonly JobView[],
    guaranteed: ReadonlySet<JobId>,
    now: MonotonicTime,
  ): (id: MachineId) => Victim[] {
    const production = waiting.some((job) => job.spec.priority === Priority.Production);
    let stoppable: Set<MachineId> | null = null;
    return (id) => {
      stoppable ??= machinesOf(
        open.filter(
          ({ assignedCount, spec }) =>
            assignedCount > 0 &&
            spec.priority !== Priority.Production &&
            (production || !guaranteed.has(spec.id)),
        ),
      );
      const worker = stoppable.has(id) ? this.ctx.workers.get(id) : undefined;
      return worker ? victims(worker, now) : [];
    };
  }

  private queued(job: JobView, tasks: number): QueuedWork {
    const runMs = this.parts.lifetimes.expectedRunMs(job.spec);
    return { spec: job.spec, tasks, zones: job.zones, runMs, ...this.waitAfterBoot(job, runMs) };
  }

  /** What a machine rented now can still save: the job's next target that its boot leaves reachable. */
  private waitAfterBoot(job: JobView, runMs: number): { slackMs: number | null; slackFactor: number } {
    const { fleet, sloTargets, slackFactors } = this.parts;
    const age = Math.max(0, this.ctx.clock.wall() - job.readyAt) + fleet.slowestBoot();
    const target = sloTargets.nextTarget(job.spec, age, runMs);
    return {
      slackMs: sloTargets.slackMs(job.spec, age, runMs),
      slackFactor: slackFactors.factor(job.spec.jobClass, target?.allowedMissShare ?? DEFAULT_ALLOWED),
    };
  }

  private viewOf(job: ActiveJob, now: MonotonicTime): JobView {
    const age = Math.max(0, this.ctx.clock.wall() - job.readyAt);
    const slackMs = this.parts.sloTargets.slackMs(
      job.effectiveSpec,
      age,
      this.parts.lifetimes.expectedRunMs(job.spec),
    );
    return jobView(job, now, age, slackMs, isStarving(job, age, now));
  }
}

function machinesOf(jobs: readonly ActiveJob[]): Set<MachineId> {
  const workers = new Set<MachineId>();
  for (const job of jobs)
    for (const task of job.assignedTasks()) if (task.machine !== null) workers.add(task.machine);
  return workers;
}
