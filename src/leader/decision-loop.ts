/**
 * Decides after state changes which tasks start on which machine and for which unmet demand the fleet needs machines.
 */
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
import { acceptsTrialTask, unschedulableReason } from '../workers/state/schedulability.js';
import type { Worker } from '../workers/state/worker.js';
import type { LeaderContext } from '../core/context.js';
import { jobView, machineView, victimsOn } from './placement-views.js';

/**
 * Delay during which decision requests are batched into one decision. Batching also reduces the number of transactions
 * and the number of calls to workers that receive several tasks.
 */
const DECISION_DELAY_MS = 40;
/** Minimum delay between a request and its decision, as a multiple of the previous decision's duration. */
const DECISION_PAUSE_FACTOR = 3;
/**
 * Share of a class's jobs that may miss their objective if no completion target that sets the share can still be met.
 */
const DEFAULT_ALLOWED_MISS_RATIO = 0.1;

/** The leader components that `DecisionLoop` uses to make and apply decisions. */
interface DecisionLoopParts {
  readonly fleet: FleetManager;
  readonly committer: Committer;
  readonly dispatcher: CommandDispatcher;
  readonly lifetimes: Lifetimes;
  readonly sloTargets: SloTargets;
  readonly slackFactors: SlackFactors;
  readonly lock: Mutex;
}

/** Makes one placement decision at a time, each over a snapshot of the leader's state. */
export class DecisionLoop {
  private readonly teams: ReadonlyMap<TeamId, Team>;
  /**
   * Cached jobs within their teams' guaranteed quotas, valid while the job store has `version`; null: not computed yet.
   */
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

  /** Enables decisions and requests the first one; called after the stored records have been loaded. */
  start(): void {
    this.isStarted = true;
    this.request();
  }

  /** Requests a decision after a change of the state that decisions depend on. */
  request(): void {
    if (this.isRequested || !this.isStarted || this.ctx.isEnded()) return;
    this.isRequested = true;
    // After a long decision, the next decision is delayed for longer, so that heartbeats are handled first.
    const delayMs = Math.max(DECISION_DELAY_MS, this.lastDurationMs * DECISION_PAUSE_FACTOR);
    this.ctx.clock.after(delayMs, () => {
      this.isRequested = false;
      // A decision that throws is a bug; the process logs the error as an unhandled rejection.
      if (!this.ctx.isEnded()) void this.parts.lock.runExclusive(() => this.decideNow());
    });
  }

  /**
   * Dispatches the start commands of tasks whose placement is durable; a start command must not be sent earlier.
   * Releases instead a task whose worker is unknown or being removed, or whose job is cancelled.
   */
  onTasksPlaced(tasks: readonly Task[]): void {
    const now = this.ctx.clock.now();
    const startingWorkers = new Set<Worker>();
    for (const task of tasks) {
      const worker = task.machine === null ? undefined : this.ctx.workers.get(task.machine);
      if (!worker || worker.isRemoving || task.job.isCancelled) {
        worker?.unassign(task);
        task.job.releaseTask(task, now);
        this.request();
      } else startingWorkers.add(worker);
      if (worker && task.job.spec.kind === 'service') {
        const { id, attemptNumber } = task;
        this.ctx.log.info({ task: id, attemptNumber, machine: worker.id }, 'replica placed');
      }
    }
    for (const worker of startingWorkers) this.parts.dispatcher.dispatch(worker);
  }

  private decideNow(): void {
    const startedAt = this.ctx.clock.now();
    this.decide(startedAt);
    this.lastDurationMs = since(this.ctx.clock.now(), startedAt);
  }

  private decide(now: MonotonicTime): void {
    const openJobs = [...this.ctx.jobs.values()].filter(
      (job) => !job.isCancelled && !job.isComplete && !job.isBlocked,
    );
    const waitingJobs = openJobs
      .filter((job) => job.waitingCount > 0)
      .map((job) => this.createJobView(job, now));
    if (waitingJobs.length === 0) {
      this.parts.fleet.setBacklog([]);
      return;
    }
    const guaranteedJobIds = this.guaranteedJobIds(openJobs);
    const plan = place({
      jobs: waitingJobs,
      machines: this.machineViews((worker) => unschedulableReason(worker, now) === null),
      trialMachines: this.machineViews((worker) => acceptsTrialTask(worker, now)),
      guaranteed: guaranteedJobIds,
      teams: this.teams,
      teamUsage: this.ctx.jobs.teamUsage(),
      victimsOf: this.victimLookup(openJobs, waitingJobs, guaranteedJobIds, now),
    });
    this.applyPlan(plan, now);
    this.parts.fleet.setBacklog(plan.unmet.map(({ job, tasks }) => this.queuedWork(job, tasks)));
    this.parts.committer.schedule();
  }

  /** Returns the views of the machines with confirmed facts that are selected. */
  private machineViews(isSelected: (worker: Worker) => boolean): MachineView[] {
    const machines: MachineView[] = [];
    for (const worker of this.ctx.workers.values()) {
      if (worker.confirmedFacts && isSelected(worker))
        machines.push(machineView(worker, worker.confirmedFacts));
    }
    return machines;
  }

  private guaranteedJobIds(openJobs: readonly ActiveJob[]): ReadonlySet<JobId> {
    const { version } = this.ctx.jobs;
    if (this.guaranteed?.version !== version) {
      this.guaranteed = { version, jobs: guaranteedJobs(openJobs, this.teams) };
    }
    return this.guaranteed.jobs;
  }

  private applyPlan(plan: PlacementPlan, now: MonotonicTime): void {
    const preemptedWorkers = this.preempt(plan, now);
    for (const start of plan.starts) {
      const job = this.ctx.jobs.get(start.job);
      const worker = this.ctx.workers.get(start.machine);
      if (!job || !worker?.confirmedFacts) continue;
      const task = job.beginAttempt(worker.id, worker.confirmedFacts.machine.zone, now);
      worker.assign(task);
      if (worker.quarantine.isActive(now)) this.recordTrial(worker, task);
      worker.idleSince = null;
      // The stop commands are sent together with the start commands after the start is committed.
      preemptedWorkers.delete(worker);
    }
    for (const worker of preemptedWorkers) this.parts.dispatcher.dispatch(worker);
  }

  private recordTrial(worker: Worker, task: Task): void {
    worker.quarantine.recordTrial(task);
    if (worker.cordon === 'failing')
      this.ctx.log.info({ machine: worker.id, task: task.id }, 'failing machine gets a trial task');
  }

  /** Marks the plan's preempted tasks for stopping and returns the workers on which they run. */
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

  /** Counts preempted tasks by the class of the preempting job. */
  private countByClass(preemptions: readonly Preemption[]): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const { preemptor } of preemptions) {
      const jobClass = this.ctx.jobs.get(preemptor)?.spec.jobClass ?? '';
      counts[jobClass] = (counts[jobClass] ?? 0) + 1;
    }
    return counts;
  }

  /**
   * Returns a function that looks up the preemptible tasks of a machine. The machines with preemptible tasks are
   * collected from the jobs at the first lookup, because most decisions make no lookup or find nothing to preempt.
   */
  private victimLookup(
    openJobs: readonly ActiveJob[],
    waitingJobs: readonly JobView[],
    guaranteedJobIds: ReadonlySet<JobId>,
    now: MonotonicTime,
  ): (id: MachineId) => Victim[] {
    const isProductionWaiting = waitingJobs.some((job) => job.spec.priority === Priority.Production);
    let preemptibleMachineIds: Set<MachineId> | null = null;
    return (id) => {
      preemptibleMachineIds ??= machinesOf(
        openJobs.filter(
          ({ assignedCount, spec }) =>
            assignedCount > 0 &&
            spec.priority !== Priority.Production &&
            (isProductionWaiting || !guaranteedJobIds.has(spec.id)),
        ),
      );
      const worker = preemptibleMachineIds.has(id) ? this.ctx.workers.get(id) : undefined;
      return worker ? victimsOn(worker, now) : [];
    };
  }

  /** Describes the unmet demand of a job to the fleet manager. */
  private queuedWork(job: JobView, taskCount: number): QueuedWork {
    const runMs = this.parts.lifetimes.expectedRunMs(job.spec);
    return { spec: job.spec, tasks: taskCount, zones: job.zones, runMs, ...this.slackAfterBoot(job, runMs) };
  }

  /**
   * Returns the job's slack to its next target that a machine rented now can still meet after booting (null: there is
   * none), and the slack factor of its class.
   */
  private slackAfterBoot(job: JobView, runMs: number): { slackMs: number | null; slackFactor: number } {
    const { fleet, sloTargets, slackFactors } = this.parts;
    const ageAfterBootMs = this.msSinceReady(job) + fleet.slowestBootMs();
    const objective = sloTargets.nextCompletionTarget(job.spec, ageAfterBootMs, runMs);
    return {
      slackMs: sloTargets.slackMs(job.spec, ageAfterBootMs, runMs),
      slackFactor: slackFactors.factor(
        job.spec.jobClass,
        objective?.allowedMissRatio ?? DEFAULT_ALLOWED_MISS_RATIO,
      ),
    };
  }

  private createJobView(job: ActiveJob, now: MonotonicTime): JobView {
    const { sloTargets, lifetimes } = this.parts;
    const waitedMs = this.msSinceReady(job);
    const slackMs = sloTargets.slackMs(job.effectiveSpec, waitedMs, lifetimes.expectedRunMs(job.spec));
    return jobView(job, now, { waitedMs, slackMs, isStarving: isStarving(job, waitedMs, now) });
  }

  /** Returns the time since the job became ready to start, in milliseconds. */
  private msSinceReady({ readyAt }: { readonly readyAt: WallTime }): number {
    return Math.max(0, this.ctx.clock.wall() - readyAt);
  }
}

function machinesOf(jobs: readonly ActiveJob[]): Set<MachineId> {
  const machines = new Set<MachineId>();
  for (const job of jobs)
    for (const task of job.assignedTasks()) if (task.machine !== null) machines.add(task.machine);
  return machines;
}
