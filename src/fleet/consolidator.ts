/** Drains machines that are mostly idle, where their work fits elsewhere. */
import type { LeaderContext } from '../core/context.js';
import type { Lifetimes } from '../forecast/lifetimes.js';
import type { ConfirmedFacts } from '../model/machine-facts.js';
import { type MonotonicTime, since } from '../model/time.js';
import type { Task } from '../scheduler/task.js';
import type { Urgency } from '../scheduler/urgency.js';
import type { Worker } from '../workers/state/worker.js';
import { allPools, hourlyPrice } from './capacity-plan.js';
import { type DrainCandidate, machinesToDrain, type MovableTask } from './consolidation.js';

/** Between two consolidations; the work of the last one's machines has been placed by then. */
const INTERVAL_MS = 2000;
/** A machine costs this much of its time however soon it is deleted (PROTOCOL). */
export const MIN_BILLED_MS = 60_000;

/** Chooses machines to drain, every few seconds while nothing waits. */
export class Consolidator {
  private lastRunAt: MonotonicTime | null = null;

  constructor(
    private readonly ctx: LeaderContext,
    private readonly lifetimes: Lifetimes,
    private readonly urgency: Urgency,
  ) {}

  /** Whether it is time for another consolidation. */
  isDue(now: MonotonicTime): boolean {
    return this.lastRunAt === null || since(now, this.lastRunAt) >= INTERVAL_MS;
  }

  /** `surplusCpus`: idle CPUs beyond the reserve that the forecast wants. */
  run(surplusCpus: number, now: MonotonicTime): void {
    this.lastRunAt = now;
    const candidates: DrainCandidate[] = [];
    for (const worker of this.ctx.workers.values()) {
      if (worker.confirmedFacts && mayDrain(worker, now))
        candidates.push(this.candidateOf(worker, worker.confirmedFacts, now));
    }
    const chosen = machinesToDrain(candidates, surplusCpus, this.lowestCpuPrice());
    if (chosen.length > 0) this.ctx.log.info({ count: chosen.length, surplusCpus }, 'draining machines');
    for (const id of chosen) this.ctx.drainWorker(id);
  }

  private candidateOf(worker: Worker, { machine, type }: ConfirmedFacts, now: MonotonicTime): DrainCandidate {
    return {
      id: worker.id,
      cpus: type.cpus,
      freeCpus: Math.max(0, worker.free.cpus),
      freeMemoryGb: Math.max(0, worker.free.memoryGb),
      price: hourlyPrice({ type, spot: machine.spot }),
      tasks: [...worker.tasks].map((task) => this.movableTaskOf(task, now)),
    };
  }

  private lowestCpuPrice(): number {
    const pools = allPools(this.ctx.machineTypes.values());
    return Math.min(...pools.map((pool) => hourlyPrice(pool) / pool.type.cpus));
  }

  private movableTaskOf(task: Task, now: MonotonicTime): MovableTask {
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

function mayDrain(worker: Worker, now: MonotonicTime): boolean {
  if (!worker.isUp || !worker.hasReported || worker.contact.hasFailedCall) return false;
  if (worker.cordon || worker.interruptionAt !== null) return false;
  return since(now, worker.rentedAt) >= MIN_BILLED_MS;
}
