/** Deletion of idle machines that exceed the forecast's reserve. */
import type { LeaderContext } from '../core/context.js';
import { type MonotonicTime, since } from '../model/time.js';
import type { Worker } from '../workers/state/worker.js';
import type { CapacityProjection } from './capacity-projection.js';
import { seriesKey } from './capacity-plan.js';
import { MIN_BILLED_MS } from './consolidator.js';
import { type DemandForecast, NEGLIGIBLE_MACHINE_RATIO } from './demand-forecast.js';
import type { ScaleIn } from './scale-in.js';
import type { ScaleOut } from './scale-out.js';

/** The time after which the cloud has usually answered the requests for tasks that a failing machine does not take. */
const FAILING_IDLE_TIMEOUT_MS = 5000;

/** The components that an `IdleMachineRemover` uses. */
export interface IdleMachineRemoverOptions {
  readonly forecast: DemandForecast;
  readonly scaleIn: ScaleIn;
  readonly scaleOut: ScaleOut;
}

/** Scales in idle machines beyond the target reserve of the forecast. */
export class IdleMachineRemover {
  constructor(
    private readonly ctx: LeaderContext,
    private readonly options: IdleMachineRemoverOptions,
  ) {}

  /**
   * Deletes surplus machines. `projectionAt` is only called if a machine has been idle for its idle timeout and rented
   * for `MIN_BILLED_MS`.
   */
  removeSurplus(now: MonotonicTime, projectionAt: (now: MonotonicTime) => CapacityProjection): void {
    const { forecast, scaleIn } = this.options;
    const idle = this.removableMachinesBySeries(now);
    if (idle.size === 0) return;
    const projected = projectionAt(now);
    for (const [series, workers] of idle) {
      const targetReserve = Math.max(0, forecast.targetReserve(series, projected));
      const reserve = projected.reserves.get(series) ?? 0;
      const surplus = Math.floor(reserve - targetReserve + NEGLIGIBLE_MACHINE_RATIO);
      for (const worker of workers.slice(0, Math.max(0, surplus))) scaleIn.deleteMachine(worker, 'surplus');
    }
  }

  /**
   * Returns the machines whose idle timeout and minimum billed time have passed, by series. Empty machines that are
   * cordoned as draining are deleted immediately instead, and failing ones if the cloud can replace them.
   */
  private removableMachinesBySeries(now: MonotonicTime): Map<string, Worker[]> {
    const idle = new Map<string, Worker[]>();
    for (const worker of this.ctx.workers.values()) {
      if (!worker.isUp || worker.isRemoving || !worker.isEmpty || worker.idleSince === null) continue;
      if (worker.cordon === 'failing' || worker.cordon === 'draining') {
        if (worker.cordon === 'draining' || this.isReplaceable(worker.idleSince, now))
          this.options.scaleIn.deleteMachine(worker, worker.cordon);
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

  /**
   * Whether a failing machine may be deleted: nothing shows that the cloud has no machines left. One that cannot be
   * replaced gets trial tasks instead (`FailureQuarantine`).
   */
  private isReplaceable(idleSince: MonotonicTime, now: MonotonicTime): boolean {
    return since(now, idleSince) >= FAILING_IDLE_TIMEOUT_MS && !this.options.scaleOut.hasOnlyRefusals(now);
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
