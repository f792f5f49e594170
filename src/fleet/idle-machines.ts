/** Deletion of idle machines that exceed the forecast's reserve. */
import type { LeaderContext } from '../core/context.js';
import { type MonotonicTime, since } from '../model/time.js';
import type { Worker } from '../workers/state/worker.js';
import type { CapacityProjection } from './capacity-projection.js';
import { seriesKey } from './capacity-plan.js';
import { MIN_BILLED_MS } from './consolidator.js';
import { type DemandForecast, NEGLIGIBLE_MACHINE_RATIO } from './demand-forecast.js';
import type { ScaleIn } from './scale-in.js';

/** Scales in idle machines beyond the target reserve of the forecast. */
export class IdleMachineRemover {
  constructor(
    private readonly ctx: LeaderContext,
    private readonly forecast: DemandForecast,
    private readonly scaleIn: ScaleIn,
  ) {}

  /**
   * Deletes surplus machines. `projectionAt` is only called if a machine has been idle for its idle timeout and rented
   * for `MIN_BILLED_MS`.
   */
  removeSurplus(now: MonotonicTime, projectionAt: (now: MonotonicTime) => CapacityProjection): void {
    const idle = this.removableMachinesBySeries(now);
    if (idle.size === 0) return;
    const projected = projectionAt(now);
    for (const [series, workers] of idle) {
      const targetReserve = Math.max(0, this.forecast.targetReserve(series, projected));
      const reserve = projected.reserves.get(series) ?? 0;
      const surplus = Math.floor(reserve - targetReserve + NEGLIGIBLE_MACHINE_RATIO);
      for (const worker of workers.slice(0, Math.max(0, surplus)))
        this.scaleIn.deleteMachine(worker, 'surplus');
    }
  }

  /**
   * Returns the machines whose idle timeout and minimum billed time have passed, by series. Empty machines that are
   * cordoned as failing or draining are deleted immediately instead.
   */
  private removableMachinesBySeries(now: MonotonicTime): Map<string, Worker[]> {
    const idle = new Map<string, Worker[]>();
    for (const worker of this.ctx.workers.values()) {
      if (!worker.isUp || worker.isRemoving || !worker.isEmpty || worker.idleSince === null) continue;
      if (worker.cordon === 'failing' || worker.cordon === 'draining') {
        this.scaleIn.deleteMachine(worker, worker.cordon);
        continue;
      }
      if (!worker.presumedFacts) continue;
      const { type, spot } = worker.presumedFacts.machine;
      if (!this.hasIdledLongEnough(worker, worker.idleSince, spot, now)) continue;
      const series = seriesKey(type, spot);
      const seriesWorkers = idle.get(series);
      if (seriesWorkers) seriesWorkers.push(worker);
      else idle.set(series, [worker]);
    }
    return idle;
  }

  private hasIdledLongEnough(
    worker: Worker,
    idleSince: MonotonicTime,
    spot: boolean,
    now: MonotonicTime,
  ): boolean {
    const { idleTimeout, spotIdleTimeout } = this.ctx.operators.fleet;
    const timeout = spot ? spotIdleTimeout : idleTimeout;
    return since(now, idleSince) >= timeout && since(now, worker.rentedAt) >= MIN_BILLED_MS;
  }
}
