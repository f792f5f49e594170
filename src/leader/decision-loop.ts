/** Decides, whenever something has changed, which tasks start where and for which work the fleet needs machines. */
import type { Mutex } from 'async-mutex';
import type { QueuedWork } from '../fleet/backlog.js';
import type { FleetManager } from '../fleet/fleet-manager.js';
import type { Lifetimes } from '../forecast/lifetimes.js';
import type { MachineId, JobId, TeamId } from '../model/ids.js';
import { Priority } from '../model/job.js';
import type { Team } from '../model/team.js';
import { type MonotonicTime, since, type WallTime } from '../model/time.js';
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
import { jobView, machineView, victimsOn } from './placement-views.js';

/**
 * Requests within this time share one decision: at size that also means fewer transactions, and fewer calls to workers
 * that get several tasks.
 */
const DECISION_DELAY_MS = 40;
/** The pause after a decision, as a multiple of its duration. */
const DECISION_PAUSE_FACTOR = 3;
/** The share of a class's jobs that may miss their objective where no objective says so. */
const DEFAULT_ALLOWED_MISSES = 0.1;

/** The parts of the leader that decisions are made by and carried out with. */
interface DecisionLoopParts {
  readonly fleet: FleetManager;
  readonly committer: Committer;
  readonly dispatcher: CommandDispatcher;
  readonly lifetimes: Lifetimes;
  readonly sloTargets: SloTargets;
  readonly slackFactors: SlackFactors;
  readonly lock: Mutex;
}

/** Makes one decision at a time, each over a snapshot of what the leader knows. */
export class DecisionLoop {
  private readonly teams: ReadonlyMap<TeamId, Team>;
  /** Jobs within their teams' guaranteed quotas, for this version of the job store. */
  private guaranteed: { readonly version: number; readonly jobs: Set<JobId> } | null = null;
  private isStarted = false;
  private isRequested = false;
  private lastDurationMs = 0;

  constructor(
    private readonly ctx: LeaderContext,
    private readonly parts: DecisionLoopParts,
  ) {
    this.teams = new Map(ctx.settings.teams.map((team) => [team.id, team]));
  }

  /** The records have been read: decisions may be made from now on. */
  start(): void {
    this.isStarted = true;
    this.request();
  }

  /** Requests a decision: something has changed that decisions depend on. */
  request(): void {
    if (this.isRequested || !this.isStarted || this.ctx.isEnded()) return;
    this.isRequested = true;
    // A decision that took long is followed by a longer pause: heartbeats go first.
    const delayMs = Math.max(DECISION_DELAY_MS, this.lastDurationMs * DECISION_PAUSE_FACTOR);
    this.ctx.clock.after(delayMs, () => {
      this.isRequested = false;
      // A decision that throws is a fault of the program: the process logs it as an unhandled rejection.
      if (!this.ctx.isEnded()) void this.parts.lock.runExclusive(() => this.decideNow());
    });
  }

  /** The starts of these tasks are durable: only now may their start commands leave. */
  onPlaced(tasks: readonly Task[]): void {
    const now = this.ctx.clock.now();
    const startingOn = new Set<Worker>();
    for (const task of tasks) {
      const worker = task.machine === null ? undefined : this.ctx.workers.get(task.machine);
      if (!worker || worker.isRemoving || task.job.isCancelled) {
        worker?.unassign(task);
        task.job.releaseTask(task, now);
        this.request();
      } else startingOn.add(worker);
      if (worker && task.job.spec.kind === 'service') {
        const { id, attemptNumber } = task;
        this.ctx.log.info({ task: id, attemptNumber, machine: worker.id }, 'replica placed');
      }
    }
    for (const worker of startingOn) this.parts.dispatcher.dispatch(worker);
  }

  private decideNow(): void {
    const startedAt = this.ctx.clock.now();
    this.decide(startedAt);
    this.lastDurationMs = since(this.ctx.clock.now(), startedAt);
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
      machines: this.schedulableMachines(),
      guaranteed,
      teams: this.teams,
      teamUsage: this.ctx.jobs.teamUsage(),
      victimsOf: this.victimLookup(open, waiting, guaranteed, now),
    });
    this.carryOut(plan, now);
    this.parts.fleet.setBacklog(plan.unmet.map(({ job, tasks }) => this.queuedWork(job, tasks)));
    this.parts.committer.schedule();
  }

  private schedulableMachines(): MachineView[] {
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
    const preemptedOn = this.preempt(plan, now);
    for (const start of plan.starts) {
      const job = this.ctx.jobs.get(start.job);
      const worker = this.ctx.workers.get(start.machine);
      if (!job || !worker?.confirmedFacts) continue;
      worker.assign(job.beginAttempt(worker.id, worker.confirmedFacts.machine.zone, now));
      worker.idleSince = null;
      // The stop and the start commands leave together, once the start is committed.
      preemptedOn.delete(worker);
    }
    for (const worker of preemptedOn) this.parts.dispatcher.dispatch(worker);
  }

  /** Marks the tasks to be preempted, and returns the workers that they are on. */
  private preempt({ preemptions }: PlacementPlan, now: MonotonicTime): Set<Worker> {
    const workers = new Set<Worker>();
    for (const preemption of preemptions) {
      const worker = this.ctx.workers.get(preemption.machine);
      for (const task of worker?.tasks ?? []) {
        if (task.id !== preemption.task || task.phase !== 'placed' || task.pendingStop) continue;
        task.pendingStop = { graceS: 0, reason: 'preempted', since: now };
        if (worker) workers.add(worker);
      }
    }
    if (preemptions.length > 0)
      this.ctx.log.info(
        { tasks: preemptions.length, preemptorClasses: this.countByClass(preemptions) },
        'preempting tasks',
      );
    return workers;
  }

  /** Counts the preempted tasks by the class of the job that they are preempted for. */
  private countByClass(preemptions: readonly Preemption[]): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const { preemptor } of preemptions) {
      const jobClass = this.ctx.jobs.get(preemptor)?.spec.jobClass ?? '';
      counts[jobClass] = (counts[jobClass] ?? 0) + 1;
    }
    return counts;
  }

  /**
   * Returns a lookup of the tasks of a machine that may be preempted. The machines that have any are collected by job,
   * and only at the first lookup: mostly there is none, or nothing may be preempted.
   */
  private victimLookup(
    open: readonly ActiveJob[],
    waiting: readonly JobView[],
    guaranteed: ReadonlySet<JobId>,
    now: MonotonicTime,
  ): (id: MachineId) => Victim[] {
    const isProductionWaiting = waiting.some((job) => job.spec.priority === Priority.Production);
    let preemptible: Set<MachineId> | null = null;
    return (id) => {
      preemptible ??= machinesOf(
        open.filter(
          ({ assignedCount, spec }) =>
            assignedCount > 0 &&
            spec.priority !== Priority.Production &&
            (isProductionWaiting || !guaranteed.has(spec.id)),
        ),
      );
      const worker = preemptible.has(id) ? this.ctx.workers.get(id) : undefined;
      return worker ? victimsOn(worker, now) : [];
    };
  }

  /** Describes unmet demand to the fleet. */
  private queuedWork(job: JobView, tasks: number): QueuedWork {
    const runMs = this.parts.lifetimes.expectedRunMs(job.spec);
    return { spec: job.spec, tasks, zones: job.zones, runMs, ...this.slackAfterBoot(job, runMs) };
  }

  /** The slack by the job's next objective that a machine rented now can still meet after its boot. */
  private slackAfterBoot(job: JobView, runMs: number): { slackMs: number | null; slackFactor: number } {
    const { fleet, sloTargets, slackFactors } = this.parts;
    const ageAfterBoot = this.ageOf(job) + fleet.slowestBoot();
    const objective = sloTargets.nextTarget(job.spec, ageAfterBoot, runMs);
    return {
      slackMs: sloTargets.slackMs(job.spec, ageAfterBoot, runMs),
      slackFactor: slackFactors.factor(
        job.spec.jobClass,
        objective?.allowedMissShare ?? DEFAULT_ALLOWED_MISSES,
      ),
    };
  }

  private viewOf(job: ActiveJob, now: MonotonicTime): JobView {
    const { sloTargets, lifetimes } = this.parts;
    const waitedMs = this.ageOf(job);
    const slackMs = sloTargets.slackMs(job.effectiveSpec, waitedMs, lifetimes.expectedRunMs(job.spec));
    return jobView(job, now, { waitedMs, slackMs, isStarving: isStarving(job, waitedMs, now) });
  }

  /** How long ago the job could have started, in milliseconds. */
  private ageOf({ readyAt }: { readonly readyAt: WallTime }): number {
    return Math.max(0, this.ctx.clock.wall() - readyAt);
  }
}

function machinesOf(jobs: readonly ActiveJob[]): Set<MachineId> {
  const machines = new Set<MachineId>();
  for (const job of jobs)
    for (const task of job.assignedTasks()) if (task.machine !== null) machines.add(task.machine);
  return machines;
}
