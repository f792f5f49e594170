/** Drains machines that are mostly idle, where their work fits elsewhere. */
import type { LeaderContext } from '../core/context.js';
import type { Lifetimes } from '../forecast/lifetimes.js';
import type { ConfirmedFacts } from '../model/machine-facts.js';
import { type MonotonicTime, since } from '../model/time.js';
import { hasZoneConstraint } from '../scheduler/placement-rule.js';
import type { Task } from '../scheduler/task.js';
import type { SloTargets } from '../scheduler/slo-targets.js';
import type { Worker } from '../workers/state/worker.js';
import { allPools, hourlyPrice } from './capacity-plan.js';
import {
  type DrainCandidate,
  machinesToDrain,
  type MovableTask,
  type MovableTaskRule,
} from './consolidation.js';

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
    private readonly sloTargets: SloTargets,
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
      type: machine.type,
      zone: machine.zone,
      spot: machine.spot,
      cpus: type.cpus,
      freeCpus: Math.max(0, worker.free.cpus),
      freeMemoryGb: Math.max(0, worker.free.memoryGb),
      price: hourlyPrice({ type, spot: machine.spot }),
      tasks: [...worker.tasks].map((task) => this.movableTaskOf(task, worker, now)),
    };
  }

  private lowestCpuPrice(): number {
    const pools = allPools(this.ctx.machineTypes.values());
    return Math.min(...pools.map((pool) => hourlyPrice(pool) / pool.type.cpus));
  }

  private movableTaskOf(task: Task, worker: Worker, now: MonotonicTime): MovableTask {
    const { effectiveSpec: spec, readyAt } = task.job;
    const runMs = this.lifetimes.expectedRunMs(spec);
    const ranMs = task.runningAt === null ? 0 : since(now, task.runningAt);
    const leftMs = this.lifetimes.expectedRemainingMs(spec, ranMs);
    const ageMs = Math.max(0, this.ctx.clock.wall() - readyAt);
    const rule = ruleOf(task, worker);
    const mayStop =
      spec.allowsSpot &&
      spec.kind === 'array' &&
      task.phase === 'placed' &&
      task.pendingStop === null &&
      !hasUnknownZones(task);
    return {
      cpus: spec.cpus,
      memoryGb: spec.memoryGb,
      lostMs: spec.checkpointIntervalS > 0 ? Math.min(ranMs, spec.checkpointIntervalS * 1000) : ranMs,
      leftMs,
      mayMove: mayStop && this.sloTargets.canRestartInTime(spec, ageMs, leftMs, runMs),
      ...(rule ? { rule } : {}),
    };
  }
}

/** Whether it cannot be told where the task may start again: nothing is known of another task's machine. */
function hasUnknownZones({ job: { spec, zoneTally } }: Task): boolean {
  return hasZoneConstraint(spec) && zoneTally.unknownZoneCount > 0;
}

/** The rule for where a task may start again once its machine is drained; null: anywhere. */
function ruleOf({ job }: Task, worker: Worker): MovableTaskRule | null {
  const { spec, zoneTally } = job;
  if (spec.zone === null && spec.allowedTypes === null && !hasZoneConstraint(spec)) return null;
  const others = new Map(zoneTally.counts);
  const zone = worker.confirmedFacts?.machine.zone;
  if (zone !== undefined) {
    let moved = 0;
    for (const task of worker.tasks) if (task.job === job) moved++;
    others.set(zone, Math.max(0, (others.get(zone) ?? 0) - moved));
  }
  return { job: spec.id, spec, others };
}

function mayDrain(worker: Worker, now: MonotonicTime): boolean {
  if (!worker.isUp || !worker.hasReported || worker.contact.hasFailedCall) return false;
  if (worker.cordon || worker.interruptionAt !== null) return false;
  return since(now, worker.rentedAt) >= MIN_BILLED_MS;
}
