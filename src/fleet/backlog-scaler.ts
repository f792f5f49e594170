/** Scales out for the queue's unmet demand. */
import type { LeaderContext } from '../core/context.js';
import type { Lifetimes } from '../forecast/lifetimes.js';
import { type MonotonicTime, plus, since } from '../model/time.js';
import { overdueDemand, type QueuedWork, SlackFactorDecay } from './backlog.js';
import { type CapacityRequest, type PendingMachine, planScaleOut } from './capacity-plan.js';
import type { CloudCallQueue } from './cloud-call-queue.js';
import type { ScaleOut } from './scale-out.js';

/** Unmet demand is turned into this many requests at a time, so that each knows the last one's refusal. */
const MAX_PENDING_REQUESTS = 2;
/** The pause after planning requests: at least this, or so many times what planning took. */
const MIN_PAUSE_MS = 150;
const PAUSE_FACTOR = 10;
/** Added to a wait, so that it is surely over when its timer runs out. */
const TIMER_MARGIN_MS = 1;

/** What a `BacklogScaler` is made with. */
export interface BacklogScalerOptions {
  readonly scaleOut: ScaleOut;
  readonly cloudCalls: CloudCallQueue;
  readonly lifetimes: Lifetimes;
}

/** Requests machines for the waiting tasks that no machine has capacity for. */
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

  /** Replaces the queue by what the last decision left. */
  setQueue(queue: readonly QueuedWork[]): void {
    this.backlog = queue;
    if (queue.length === 0) this.slackFactorDecay.update(false, this.ctx.clock.now());
    this.requestUnmet();
  }

  /** Requests machines for the queue now, or when it is time to. */
  requestUnmet(): void {
    const { scaleOut, cloudCalls } = this.options;
    const { pending } = scaleOut;
    if (this.backlog.length === 0 || pending.size >= MAX_PENDING_REQUESTS) return;
    const startedAt = this.ctx.clock.now();
    const waitMs = Math.max(cloudCalls.waitMs, (this.nextPlanAt ?? startedAt) - startedAt);
    if (waitMs > 0) {
      this.requestAfter(waitMs);
      return;
    }
    const maxMachines = this.ctx.operators.fleet.maxMachines - this.ctx.workers.size - pending.size;
    const requests = this.planRequests(maxMachines);
    for (const request of requests.slice(0, MAX_PENDING_REQUESTS - pending.size))
      scaleOut.request(request, 'queue');
    const now = this.ctx.clock.now();
    this.nextPlanAt = plus(now, Math.max(MIN_PAUSE_MS, since(now, startedAt) * PAUSE_FACTOR));
  }

  private requestAfter(waitMs: number): void {
    if (this.isTimerRunning) return;
    this.isTimerRunning = true;
    this.ctx.clock.after(waitMs + TIMER_MARGIN_MS, () => {
      this.isTimerRunning = false;
      if (!this.ctx.isEnded()) this.requestUnmet();
    });
  }

  /**
   * Spot machines for all that waits; on-demand ones, which cost several times as much, for what
   * must run on them and for what the fleet would start too late.
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
    const cpus = this.spotWorkCpus(pendingMachines);
    const busyCpuMs = this.busyCpuMs();
    const isOverdue = overdueDemand(spotWork, cpus, busyCpuMs, 0).length > 0;
    const slackFactorLeft = this.slackFactorDecay.update(isOverdue, this.ctx.clock.now());
    return overdueDemand(spotWork, cpus, busyCpuMs, slackFactorLeft);
  }

  /** The CPUs that work off the queue of spot work: of machines up and pending, less what other work holds there. */
  private spotWorkCpus(pendingMachines: readonly PendingMachine[]): number {
    let cpus = pendingMachines.reduce((sum, machine) => sum + machine.free.cpus, 0);
    for (const worker of this.ctx.workers.values()) {
      if (!worker.isUp || worker.cordon) continue;
      cpus += worker.type?.cpus ?? 0;
      for (const task of worker.tasks) if (!task.job.spec.allowsSpot) cpus -= task.job.spec.cpus;
    }
    return cpus;
  }

  /** The expected remaining CPU time of the spot work on the machines. */
  private busyCpuMs(): number {
    const now = this.ctx.clock.now();
    let sum = 0;
    for (const worker of this.ctx.workers.values()) {
      for (const task of worker.tasks) {
        const { spec } = task.job;
        if (!spec.allowsSpot) continue;
        const ranMs = task.runningAt === null ? 0 : now - task.runningAt;
        sum += this.options.lifetimes.expectedLeft(spec, ranMs) * spec.cpus;
      }
    }
    return sum;
  }
}
