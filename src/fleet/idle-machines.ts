/** Which idle machines are surplus and can be deleted. */
import type { LeaderContext } from '../core/context.js';
import { type MonotonicTime, since } from '../model/time.js';
import type { Worker } from '../workers/state/worker.js';
import type { CapacityProjection } from './capacity-projection.js';
import { seriesKey } from './capacity-plan.js';
import { MIN_BILLED_MS } from './consolidator.js';
import { type DemandForecast, NEGLIGIBLE_MACHINE_SHARE } from './demand-forecast.js';
import type { ScaleIn } from './scale-in.js';

/** Scales in idle machines beyond what the forecast still wants. */
export class IdleMachineRemover {
  constructor(
    private readonly ctx: LeaderContext,
    private readonly forecast: DemandForecast,
    private readonly scaleIn: ScaleIn,
  ) {}

  /** Deletes the surplus. `projection` is only called where a machine has idled for long enough. */
  removeSurplus(now: MonotonicTime, projection: (now: MonotonicTime) => CapacityProjection): void {
    const idle = this.removableBySeries(now);
    if (idle.size === 0) return;
    const projected = projection(now);
    for (const [series, workers] of idle) {
      const wantedReserve = Math.max(0, this.forecast.wantedReserve(series, projected));
      const reserve = projected.reserves.get(series) ?? 0;
      const surplus = Math.floor(reserve - wantedReserve + NEGLIGIBLE_MACHINE_SHARE);
      for (const worker of workers.slice(0, Math.max(0, surplus))) this.scaleIn.remove(worker, 'surplus');
    }
  }

  /** Machines that have idled for long enough to be deleted; empty ones that are cordoned are deleted at once. */
  private removableBySeries(now: MonotonicTime): Map<string, Worker[]> {
    const idle = new Map<string, Worker[]>();
    for (const worker of this.ctx.workers.values()) {
      if (!worker.isUp || worker.isRemoving || !worker.isEmpty || worker.idleSince === null) continue;
      if (worker.cordon === 'failing' || worker.cordon === 'draining') {
        this.scaleIn.remove(worker, worker.cordon);
        continue;
      }
      if (!worker.presumedFacts) continue;
      const { type, spot } = worker.presumedFacts.machine;
      if (!this.hasIdledLongEnough(worker, worker.idleSince, spot, now)) continue;
      const series = seriesKey(type, spot);
      const ofSeries = idle.get(series);
      if (ofSeries) ofSeries.push(worker);
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
