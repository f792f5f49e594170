/** Empties machines that are mostly idle, where their work fits elsewhere. */
import type { LeaderContext } from '../core/context.js';
import type { Lifetimes } from '../forecast/lifetimes.js';
import type { ConfirmedFacts } from '../model/machine-facts.js';
import { type MonotonicTime, since } from '../model/time.js';
import type { Task } from '../scheduler/task.js';
import type { Urgency } from '../scheduler/urgency.js';
import type { Worker } from '../workers/state/worker.js';
import { machinesToEmpty, type MovableTask, type PartlyUsed } from './consolidation.js';
import { allPools, price } from './capacity-plan.js';

/** Between two looks for machines to be emptied; the last one's work has found its place by then. */
const EVERY_MS = 2000;
/** A machine costs this much of its time however soon it goes back (PROTOCOL). */
export const PAID_MS = 60_000;

/** Looks every few seconds, while nothing waits. */
export class Consolidator {
  private lastAt: MonotonicTime | null = null;

  constructor(
    private readonly ctx: LeaderContext,
    private readonly lifetimes: Lifetimes,
    private readonly urgency: Urgency,
  ) {}

  /** Whether it is time for another look. */
  due(now: MonotonicTime): boolean {
    return this.lastAt === null || since(now, this.lastAt) >= EVERY_MS;
  }

  /** `surplus`: idle CPUs beyond the reserve that the forecast wants. */
  run(surplus: number, now: MonotonicTime): void {
    this.lastAt = now;
    const machines: PartlyUsed[] = [];
    for (const worker of this.ctx.workers.values()) {
      if (worker.confirmedFacts && this.mayEmpty(worker, now))
        machines.push(this.viewOf(worker, worker.confirmedFacts, now));
    }
    const chosen = machinesToEmpty(machines, surplus, this.cheapestCpu());
    if (chosen.length > 0) this.ctx.log.info({ machines: chosen.length, surplus }, 'emptying machines');
    for (const id of chosen) this.ctx.drainWorker(id);
  }

  private mayEmpty(worker: Worker, now: MonotonicTime): boolean {
    if (
      !worker.isUp ||
      !worker.hasReported ||
      worker.cordon ||
      worker.interruptionAt !== null ||
      worker.contact.hasFailedCall
    )
      return false;
    return since(now, worker.rentedAt) >= PAID_MS;
  }

  private viewOf(worker: Worker, { machine, type }: ConfirmedFacts, now: MonotonicTime): PartlyUsed {
    return {
      id: worker.id,
      cpus: type.cpus,
      freeCpus: Math.max(0, worker.free.cpus),
      freeMemoryGb: Math.max(0, worker.free.memoryGb),
      price: price({ type, spot: machine.spot }),
      tasks: [...worker.tasks].map((task) => this.movable(task, now)),
    };
  }

  private cheapestCpu(): number {
    const pools = allPools(this.ctx.machineTypes.values());
    return Math.min(...pools.map((pool) => price(pool) / pool.type.cpus));
  }

  private movable(task: Task, now: MonotonicTime): MovableTask {
    const { effectiveSpec: spec, readyAt } = task.job;
    const runMs = this.lifetimes.expectedRun(spec);
    const ranMs = task.runningAt === null ? 0 : since(now, task.runningAt);
    const leftMs = this.lifetimes.expectedLeft(spec, ranMs);
    const ageMs = Math.max(0, this.ctx.clock.wall() - readyAt);
    const mayStop =
      spec.allowsSpot && spec.kind === 'array' && task.phase === 'placed' && task.pendingStop === null;
    return {
      cpus: spec.cpus,
      memoryGb: spec.memoryGb,
      lostMs: spec.checkpointIntervalS > 0 ? Math.min(ranMs, spec.checkpointIntervalS * 1000) : ranMs,
      leftMs,
      mayMove: mayStop && this.urgency.mayStartAgain(spec, ageMs, leftMs, runMs),
    };
  }
}
