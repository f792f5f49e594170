/** Periodic consolidation: drains underused machines whose tasks fit on other machines. */
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
  type MovableTaskConstraint,
} from './drain-selection.js';

/** The minimum interval between two consolidations; by then the tasks of drained machines are usually placed again. */
const CONSOLIDATION_INTERVAL_MS = 2000;
/** The minimum time that is billed for a machine, however early the machine is deleted (PROTOCOL). */
export const MIN_BILLED_MS = 60_000;

/**
 * Selects underused machines and drains them. The caller runs the consolidation only while no task waits and no
 * scale-out request is pending.
 */
export class Consolidator {
  private lastRunAt: MonotonicTime | null = null;

  constructor(
    private readonly ctx: LeaderContext,
    private readonly lifetimes: Lifetimes,
    private readonly sloTargets: SloTargets,
  ) {}

  /** Reports whether `CONSOLIDATION_INTERVAL_MS` has passed since the last consolidation. */
  isDue(now: MonotonicTime): boolean {
    return this.lastRunAt === null || since(now, this.lastRunAt) >= CONSOLIDATION_INTERVAL_MS;
  }

  /**
   * Drains the machines that consolidation selects. `surplusCpus` is the number of idle CPUs beyond the forecast's
   * reserve.
   */
  run(surplusCpus: number, now: MonotonicTime): void {
    this.lastRunAt = now;
    const candidates: DrainCandidate[] = [];
    for (const worker of this.ctx.workers.values()) {
      if (worker.confirmedFacts && isDrainable(worker, now))
        candidates.push(this.candidateOf(worker, worker.confirmedFacts, now));
    }
    const chosenIds = machinesToDrain(candidates, surplusCpus, this.lowestCpuPrice());
    if (chosenIds.length > 0)
      this.ctx.log.info({ count: chosenIds.length, surplusCpus }, 'draining machines');
    for (const id of chosenIds) this.ctx.drainWorker(id);
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
    const remainingMs = this.lifetimes.expectedRemainingMs(spec, ranMs);
    const ageMs = Math.max(0, this.ctx.clock.wall() - readyAt);
    const constraint = placementConstraintOf(task, worker);
    const canStop =
      spec.allowsSpot &&
      spec.kind === 'array' &&
      task.phase === 'placed' &&
      task.pendingStop === null &&
      !hasUnknownZones(task);
    return {
      cpus: spec.cpus,
      memoryGb: spec.memoryGb,
      lostMs: spec.checkpointIntervalS > 0 ? Math.min(ranMs, spec.checkpointIntervalS * 1000) : ranMs,
      remainingMs,
      mayMove: canStop && this.sloTargets.canRestartInTime(spec, ageMs, remainingMs, runMs),
      ...(constraint ? { constraint } : {}),
    };
  }
}

/**
 * Reports whether the zones in which the task may restart are undetermined: the job has a zone constraint, and the zone
 * of a machine that runs another of its tasks is unknown.
 */
function hasUnknownZones({ job: { spec, zoneTally } }: Task): boolean {
  return hasZoneConstraint(spec) && zoneTally.unknownZoneCount > 0;
}

/** Returns the placement constraint for restarting a task once its machine is drained; null: any machine is allowed. */
function placementConstraintOf({ job }: Task, worker: Worker): MovableTaskConstraint | null {
  const { spec, zoneTally } = job;
  if (spec.zone === null && spec.allowedTypes === null && !hasZoneConstraint(spec)) return null;
  const otherTasksByZone = new Map(zoneTally.counts);
  const zone = worker.confirmedFacts?.machine.zone;
  if (zone !== undefined) {
    let movedTaskCount = 0;
    for (const task of worker.tasks) if (task.job === job) movedTaskCount++;
    otherTasksByZone.set(zone, Math.max(0, (otherTasksByZone.get(zone) ?? 0) - movedTaskCount));
  }
  return { job: spec.id, spec, otherTasksByZone };
}

function isDrainable(worker: Worker, now: MonotonicTime): boolean {
  if (!worker.isUp || !worker.hasReported || worker.contact.hasFailedCall) return false;
  if (worker.cordon || worker.interruptionAt !== null) return false;
  return since(now, worker.rentedAt) >= MIN_BILLED_MS;
}
