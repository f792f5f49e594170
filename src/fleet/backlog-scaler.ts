/** Scale-out for the unmet demand of the queue. */
import type { LeaderContext } from '../core/context.js';
import type { Lifetimes } from '../forecast/lifetimes.js';
import { type MonotonicTime, plus, since } from '../model/time.js';
import { overdueDemand, type QueuedWork, SlackFactorDecay } from './backlog.js';
import { type CapacityRequest, type PendingMachine, planScaleOut } from './capacity-plan.js';
import type { CloudCallQueue } from './cloud-call-queue.js';
import type { ScaleOut } from './scale-out.js';

/**
 * The number of pending scale-out requests from which on no machines are requested for the queue; later requests then
 * take sold-out pools of earlier ones into account.
 */
const MAX_PENDING_REQUEST_COUNT = 2;
/** The minimum pause between two rounds of planning. */
const MIN_PLANNING_PAUSE_MS = 150;
/** The minimum ratio of the pause after a round of planning to the time that the round took. */
const PLANNING_PAUSE_RATIO = 10;
/** Added to the delay of a timer, so that the wait has ended when the timer fires. */
const TIMER_MARGIN_MS = 1;

/** The components that a `BacklogScaler` uses. */
export interface BacklogScalerOptions {
  readonly scaleOut: ScaleOut;
  readonly cloudCalls: CloudCallQueue;
  readonly lifetimes: Lifetimes;
}

/** Requests machines for waiting tasks that do not fit on the machines of the fleet. */
export class BacklogScaler {
  private backlog: readonly QueuedWork[] = [];
  private readonly slackFactorDecay = new SlackFactorDecay();
  private isTimerRunning = false;
  private nextPlanAt: MonotonicTime | null = null;

  constructor(
    private readonly ctx: LeaderContext,
    private readonly options: BacklogScalerOptions,
  ) {}

  /** The unmet demand, in queue order. */
  get queue(): readonly QueuedWork[] {
    return this.backlog;
  }

  /** Replaces the queue with the unmet demand of the last scheduling decision. */
  setQueue(queue: readonly QueuedWork[]): void {
    this.backlog = queue;
    if (queue.length === 0) this.slackFactorDecay.update(false, this.ctx.clock.now());
    this.requestUnmet();
  }

  /**
   * Requests machines for the queue, now or as soon as the cloud's rate limit and the planning pause allow. Does
   * nothing if the queue is empty or while `MAX_PENDING_REQUEST_COUNT` requests are pending.
   */
  requestUnmet(): void {
    const { scaleOut, cloudCalls } = this.options;
    const { pending } = scaleOut;
    if (this.backlog.length === 0 || pending.size >= MAX_PENDING_REQUEST_COUNT) return;
    const startedAt = this.ctx.clock.now();
    const waitMs = Math.max(cloudCalls.waitMs, (this.nextPlanAt ?? startedAt) - startedAt);
    if (waitMs > 0) {
      this.scheduleRequest(waitMs);
      return;
    }
    const maxMachines = this.ctx.operators.fleet.maxMachines - this.ctx.workers.size - pending.size;
    const requests = this.planRequests(maxMachines);
    for (const request of requests.slice(0, MAX_PENDING_REQUEST_COUNT - pending.size))
      scaleOut.request(request, 'queue');
    const now = this.ctx.clock.now();
    this.nextPlanAt = plus(
      now,
      Math.max(MIN_PLANNING_PAUSE_MS, since(now, startedAt) * PLANNING_PAUSE_RATIO),
    );
  }

  private scheduleRequest(waitMs: number): void {
    if (this.isTimerRunning) return;
    this.isTimerRunning = true;
    this.ctx.clock.after(waitMs + TIMER_MARGIN_MS, () => {
      this.isTimerRunning = false;
      if (!this.ctx.isEnded()) this.requestUnmet();
    });
  }

  /**
   * Plans spot machines for all work that may run on them, and on-demand machines, which cost several times as much,
   * only for work that must run on them and, if no spot machine can be requested, for spot work that the current fleet
   * would start too late.
   */
  private planRequests(maxMachines: number): CapacityRequest[] {
    const pendingMachines = this.options.scaleOut.pendingMachines();
    const pools = this.options.scaleOut.availablePools();
    const spotWork = this.backlog.filter((job) => job.spec.allowsSpot);
    const onDemandWork = this.backlog.filter((job) => !job.spec.allowsSpot);
    const spotPools = pools.filter((pool) => pool.spot);
    const spotRequests = planScaleOut(spotWork, pendingMachines, spotPools, maxMachines);
    const onDemandRequests = planScaleOut(onDemandWork, pendingMachines, pools, maxMachines);
    if (spotRequests.length > 0) return [...onDemandRequests, ...spotRequests];
    const overdue = this.overdueSpotWork(spotWork, pendingMachines);
    const onDemandPools = pools.filter((pool) => !pool.spot);
    return [...onDemandRequests, ...planScaleOut(overdue, [], onDemandPools, maxMachines)];
  }

  private overdueSpotWork(spotWork: readonly QueuedWork[], pendingMachines: readonly PendingMachine[]) {
    const cpus = this.cpusForSpotWork(pendingMachines);
    const remainingCpuMs = this.remainingSpotCpuMs();
    const isOverdue = overdueDemand(spotWork, cpus, remainingCpuMs, 0).length > 0;
    const slackFactorScale = this.slackFactorDecay.update(isOverdue, this.ctx.clock.now());
    return overdueDemand(spotWork, cpus, remainingCpuMs, slackFactorScale);
  }

  /** Returns the CPUs of uncordoned running and pending machines that are not used by work other than spot work. */
  private cpusForSpotWork(pendingMachines: readonly PendingMachine[]): number {
    let cpus = pendingMachines.reduce((sum, machine) => sum + machine.free.cpus, 0);
    for (const worker of this.ctx.workers.values()) {
      if (!worker.isUp || worker.cordon) continue;
      cpus += worker.type?.cpus ?? 0;
      for (const task of worker.tasks) if (!task.job.spec.allowsSpot) cpus -= task.job.spec.cpus;
    }
    return cpus;
  }

  /** Returns the expected remaining CPU time of the spot tasks that are assigned to machines, in CPU milliseconds. */
  private remainingSpotCpuMs(): number {
    const now = this.ctx.clock.now();
    let remainingCpuMs = 0;
    for (const worker of this.ctx.workers.values()) {
      for (const task of worker.tasks) {
        const { spec } = task.job;
        if (!spec.allowsSpot) continue;
        const ranMs = task.runningAt === null ? 0 : now - task.runningAt;
        remainingCpuMs += this.options.lifetimes.expectedRemainingMs(spec, ranMs) * spec.cpus;
      }
    }
    return remainingCpuMs;
  }
}
