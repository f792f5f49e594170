/** The paper's forecast: how many machines of each series the coming slot will newly need. */
import type { ControllerContext } from '../core/context.js';
import { Arrivals } from '../forecast/arrivals.js';
import { Ensemble, type PredictionCost } from '../forecast/ensemble.js';
import { autoregression, highQuantile, movingAverage } from '../forecast/predictors.js';
import { type Millis } from '../model/time.js';
import { NO_TASKS } from '../scheduler/placement-rule.js';
import type { ActiveJob } from '../scheduler/active-job.js';
import type { CapacityProjection } from './capacity-projection.js';
import { allPools, cheapestPool, perMachine, readSeriesKey, seriesKey } from './capacity-plan.js';

/** The part of a site's stock of old work that a slot's arrivals are taken to be. */
const FIRST_SLOT = 0.3;
/** A need of less than this part of a machine is not rented for. */
export const ROUND_DOWN = 0.3;
const AUTOREGRESSION_SLOTS = 7;
const QUANTILE_SLOTS = 8;
const QUANTILE = 0.15;

/** New need, frees and reserve of one series in one slot, as the log tells them. */
type SlotFigures = readonly [need: number, forecast: number, frees: number, reserve: number];

const rounded = (n: number): number => Math.round(n * 100) / 100;

/** One ensemble of predictors per series, scored each slot by what its mistakes cost. */
export class DemandForecast {
  private readonly ensembles = new Map<string, Ensemble>();
  /** New need of the running slot, in machines, by series. */
  private readonly slotNeed = new Map<string, number>();
  private readonly arrivals = { spot: new Arrivals(), ordinary: new Arrivals() };
  /** Series whose pools refused in the running slot: it is not scored. */
  private readonly refusedInSlot = new Set<string>();
  private firstSlot = true;

  constructor(
    private readonly ctx: Pick<ControllerContext, 'clock' | 'operators' | 'settings' | 'machineTypes'>,
  ) {}

  get slot(): Millis {
    return this.ctx.operators.forecast.slot;
  }

  /** Every series that was ever needed or forecast. */
  get series(): ReadonlySet<string> {
    return new Set([...this.ensembles.keys(), ...this.slotNeed.keys()]);
  }

  restore(series: string, stored: unknown): void {
    this.ensemble(series).restore(stored);
  }

  records(): Map<string, unknown> {
    return new Map([...this.ensembles].map(([series, ensemble]) => [series, ensemble.record()]));
  }

  /** New demand: counted once for the type that would serve it best, refused or not. */
  demanded({ spec }: ActiveJob): void {
    const pool = cheapestPool(
      { spec, tasks: spec.taskCount, zones: NO_TASKS },
      allPools(this.ctx.machineTypes.values()),
    );
    if (!pool) return;
    const team = this.ctx.settings.teams.find((one) => one.id === spec.team);
    const limit = team?.cpusMax != null && spec.cpus > 0 ? Math.floor(team.cpusMax / spec.cpus) : Infinity;
    const machines = Math.min(spec.taskCount, limit) / perMachine(spec, pool.type);
    const key = seriesKey(pool.type.id, pool.spot);
    this.slotNeed.set(key, (this.slotNeed.get(key) ?? 0) + machines);
    this.arrivals[pool.spot ? 'spot' : 'ordinary'].recordArrival(this.ctx.clock.now());
  }

  refused(series: string): void {
    this.refusedInSlot.add(series);
  }

  /** The slot is over: its need is known, and the predictors are scored by it. */
  endSlot(projection: CapacityProjection): Record<string, SlotFigures> {
    const first = this.firstSlot;
    this.firstSlot = false;
    const told: Record<string, SlotFigures> = {};
    for (const series of this.slotNeed.keys()) this.ensemble(series);
    for (const [series, ensemble] of this.ensembles) {
      // The first slot of a site holds a stock of old work: a slot's arrivals are a part of it.
      const stock = first && ensemble.series.length === 0 ? FIRST_SLOT : 1;
      const need = (this.slotNeed.get(series) ?? 0) * stock;
      ensemble.observe(need, !this.refusedInSlot.has(series));
      const frees = projection.frees.get(series) ?? 0;
      const reserve = projection.reserves.get(series) ?? 0;
      told[series] = [rounded(need), rounded(ensemble.forecast()), rounded(frees), rounded(reserve)];
    }
    return told;
  }

  /** After what the ended slot's forecast asks for: the next slot's need is counted from here. */
  beginSlot(): void {
    this.slotNeed.clear();
    this.arrivals.spot.endSlot();
    this.arrivals.ordinary.endSlot();
    this.refusedInSlot.clear();
  }

  /**
   * The reserve wanted: new need less expected frees. What is rented now serves only after its boot:
   * ordinary machines are wanted for a slot and a boot, since their work must not wait for either.
   */
  wanted(series: string, projection: CapacityProjection): number {
    const { type: id, spot } = readSeriesKey(series);
    const forecast = this.forecastOf(series);
    if (spot) {
      const { need, net } = this.spotNet(projection);
      return need > 0 ? (forecast * net) / need : 0;
    }
    const perSlot = forecast - (projection.frees.get(series) ?? 0);
    const type = this.ctx.machineTypes.get(id);
    if (!type) return perSlot;
    // One machine's replicas find room at once when it dies.
    const floor = projection.replicasOn.has(type.id) ? 1 : 0;
    return Math.max(floor, perSlot * (1 + type.bootTime / this.slot));
  }

  /** Machines to rent ahead: the reserve wanted, less the one that is there. */
  missing(series: string, projection: CapacityProjection): number {
    const { type: id, spot } = readSeriesKey(series);
    const reserve = projection.reserves.get(series) ?? 0;
    const count = Math.ceil(this.wanted(series, projection) - reserve - ROUND_DOWN);
    if (!spot) return count;
    // Idle room on other machines serves spot work as well.
    const short = this.spotNet(projection).net - projection.spotIdle;
    return Math.min(count, Math.ceil(short / (this.ctx.machineTypes.get(id)?.cpus ?? 1) - ROUND_DOWN));
  }

  /**
   * New need of all series of spot work, less what such work, its own included, is expected to free,
   * in CPUs. It runs wherever there is room, so what one type frees serves the need of another: reckoned
   * type by type, machines would be kept for demand that the others' frees have long met.
   */
  spotNet(projection: CapacityProjection): { need: number; net: number } {
    let need = 0;
    for (const series of this.ensembles.keys()) {
      const { type, spot } = readSeriesKey(series);
      if (spot) need += this.forecastOf(series) * (this.ctx.machineTypes.get(type)?.cpus ?? 0);
    }
    return { need, net: Math.max(0, need * (1 - projection.spotOwnFrees) - projection.spotFrees) };
  }

  /** New machines that the slot will need. */
  private forecastOf(series: string): number {
    const ensemble = this.ensemble(series);
    // Before the first slot has ended, its stock of old work tells what a slot may bring.
    if (ensemble.series.length === 0) return (this.slotNeed.get(series) ?? 0) * FIRST_SLOT;
    const arrivals = this.arrivals[readSeriesKey(series).spot ? 'spot' : 'ordinary'];
    return ensemble.forecast() * arrivals.confirmedShare(this.ctx.clock.now(), this.slot);
  }

  private ensemble(series: string): Ensemble {
    let ensemble = this.ensembles.get(series);
    if (!ensemble) {
      const predictors = [
        movingAverage(this.ctx.operators.forecast.averageSlots),
        autoregression(AUTOREGRESSION_SLOTS),
        highQuantile(QUANTILE_SLOTS, QUANTILE),
      ];
      ensemble = new Ensemble(predictors, this.costOf(series));
      this.ensembles.set(series, ensemble);
    }
    return ensemble;
  }

  private costOf(series: string): PredictionCost {
    const { spotBeta, onDemandBeta, hitS, idleCostS, slot } = this.ctx.operators.forecast;
    const { type: id, spot } = readSeriesKey(series);
    const type = this.ctx.machineTypes.get(id);
    return {
      // Ordinary machines are forecast for work that must not wait for a boot.
      beta: spot ? spotBeta : onDemandBeta,
      hitWaitS: hitS,
      missWaitS: type ? type.bootTime / 1000 : slot / 1000,
      idleCostS,
    };
  }
}
