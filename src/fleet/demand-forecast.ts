/** The paper's forecast: how many machines of each series the next slot will newly need. */
import type { ControllerContext } from '../core/context.js';
import { Arrivals } from '../forecast/arrivals.js';
import { Ensemble, type PredictionCost } from '../forecast/ensemble.js';
import { autoregression, highQuantile, movingAverage } from '../forecast/predictors.js';
import { type Millis } from '../model/time.js';
import { NO_TASKS } from '../scheduler/placement-rule.js';
import type { ActiveJob } from '../scheduler/active-job.js';
import type { CapacityProjection } from './capacity-projection.js';
import { allPools, cheapestPool, readSeriesKey, seriesKey, tasksPerMachine } from './capacity-plan.js';

/** The part of a site's stock of old work that a slot's arrivals are assumed to be. */
const FIRST_SLOT_SHARE = 0.3;
/** No machine is requested for a need of less than this part of one. */
export const NEGLIGIBLE_MACHINE_SHARE = 0.3;
const AUTOREGRESSION_SLOTS = 7;
const QUANTILE_SLOTS = 8;
const QUANTILE = 0.15;

/** One series' figures of a slot that has ended, in machines, for the log. */
interface SlotFigures {
  readonly need: number;
  readonly forecast: number;
  readonly releases: number;
  readonly reserve: number;
}

/** The demand of all series of spot work, in CPUs. */
interface SpotDemand {
  readonly needCpus: number;
  /** What is left of it beyond the expected releases. */
  readonly netCpus: number;
}

const roundedToHundredths = (value: number): number => Math.round(value * 100) / 100;

/** Forecasts demand by one ensemble of predictors per series, scored each slot by what its mistakes cost. */
export class DemandForecast {
  private readonly ensembles = new Map<string, Ensemble>();
  /** New need of the running slot, in machines, by series. */
  private readonly slotNeed = new Map<string, number>();
  private readonly arrivals = { spot: new Arrivals(), onDemand: new Arrivals() };
  /** Series whose pools were sold out in the running slot: it is not scored. */
  private readonly soldOutInSlot = new Set<string>();
  private isFirstSlot = true;

  constructor(
    private readonly ctx: Pick<ControllerContext, 'clock' | 'operators' | 'settings' | 'machineTypes'>,
  ) {}

  /** The length of a slot. */
  get slot(): Millis {
    return this.ctx.operators.forecast.slot;
  }

  /** Every series that was ever needed or forecast. */
  get series(): ReadonlySet<string> {
    return new Set([...this.ensembles.keys(), ...this.slotNeed.keys()]);
  }

  /** Restores a series' ensemble, as an earlier leader stored it. */
  restore(series: string, stored: unknown): void {
    this.ensemble(series).restore(stored);
  }

  /** Returns the ensembles to be stored, by series. */
  records(): Map<string, unknown> {
    return new Map([...this.ensembles].map(([series, ensemble]) => [series, ensemble.record()]));
  }

  /** Records new demand: counted once for the type that would serve it best, sold out or not. */
  recordDemand({ spec }: ActiveJob): void {
    const pool = cheapestPool(
      { spec, tasks: spec.taskCount, zones: NO_TASKS },
      allPools(this.ctx.machineTypes.values()),
    );
    if (!pool) return;
    const team = this.ctx.settings.teams.find(({ id }) => id === spec.team);
    const quotaTasks =
      team?.cpusMax != null && spec.cpus > 0 ? Math.floor(team.cpusMax / spec.cpus) : Infinity;
    const machines = Math.min(spec.taskCount, quotaTasks) / tasksPerMachine(spec, pool.type);
    const key = seriesKey(pool.type.id, pool.spot);
    this.slotNeed.set(key, (this.slotNeed.get(key) ?? 0) + machines);
    this.arrivals[pool.spot ? 'spot' : 'onDemand'].arrived(this.ctx.clock.now());
  }

  /** A pool of the series gave fewer machines than were requested. */
  recordSoldOut(series: string): void {
    this.soldOutInSlot.add(series);
  }

  /** Ends the slot: its need is known, and the predictors are scored by it. Returns its figures by series. */
  endSlot(projection: CapacityProjection): Record<string, SlotFigures> {
    const wasFirstSlot = this.isFirstSlot;
    this.isFirstSlot = false;
    const figures: Record<string, SlotFigures> = {};
    for (const series of this.slotNeed.keys()) this.ensemble(series);
    for (const [series, ensemble] of this.ensembles) {
      // The first slot of a site holds a stock of old work: a slot's arrivals are a part of it.
      const share = wasFirstSlot && ensemble.series.length === 0 ? FIRST_SLOT_SHARE : 1;
      const need = (this.slotNeed.get(series) ?? 0) * share;
      ensemble.observe(need, !this.soldOutInSlot.has(series));
      figures[series] = {
        need: roundedToHundredths(need),
        forecast: roundedToHundredths(ensemble.forecast()),
        releases: roundedToHundredths(projection.releases.get(series) ?? 0),
        reserve: roundedToHundredths(projection.reserves.get(series) ?? 0),
      };
    }
    return figures;
  }

  /** Begins the next slot, once what the ended slot's forecast asks for was requested: need is counted from here. */
  beginSlot(): void {
    this.slotNeed.clear();
    this.arrivals.spot.endSlot();
    this.arrivals.onDemand.endSlot();
    this.soldOutInSlot.clear();
  }

  /**
   * Returns the reserve wanted, in machines: new need less expected releases. What is requested now serves only after
   * its boot: on-demand machines are wanted for a slot and a boot, since their work must not wait for either.
   */
  wantedReserve(series: string, projection: CapacityProjection): number {
    const { type: id, spot } = readSeriesKey(series);
    const forecast = this.forecastOf(series);
    if (spot) {
      const { needCpus, netCpus } = this.spotDemand(projection);
      return needCpus > 0 ? (forecast * netCpus) / needCpus : 0;
    }
    const perSlot = forecast - (projection.releases.get(series) ?? 0);
    const type = this.ctx.machineTypes.get(id);
    if (!type) return perSlot;
    // One machine's replicas find capacity at once when it dies.
    const minReserve = projection.typesWithReplicas.has(type.id) ? 1 : 0;
    return Math.max(minReserve, perSlot * (1 + type.bootTime / this.slot));
  }

  /** Returns how many machines to request ahead: the reserve wanted, less the present one. */
  missingMachines(series: string, projection: CapacityProjection): number {
    const { type: id, spot } = readSeriesKey(series);
    const reserve = projection.reserves.get(series) ?? 0;
    const count = Math.ceil(this.wantedReserve(series, projection) - reserve - NEGLIGIBLE_MACHINE_SHARE);
    if (!spot) return count;
    // Idle capacity on other machines serves spot work as well.
    const missingCpus = this.spotDemand(projection).netCpus - projection.spotIdleCpus;
    const cpusPerMachine = this.ctx.machineTypes.get(id)?.cpus ?? 1;
    return Math.min(count, Math.ceil(missingCpus / cpusPerMachine - NEGLIGIBLE_MACHINE_SHARE));
  }

  /**
   * Returns the new need of all series of spot work, and what is left of it beyond what such work, its own included, is
   * expected to release. It runs wherever there is capacity, so what one type releases serves the need of another:
   * computed type by type, machines would be kept for demand that the others' releases have long met.
   */
  spotDemand(projection: CapacityProjection): SpotDemand {
    let needCpus = 0;
    for (const series of this.ensembles.keys()) {
      const { type, spot } = readSeriesKey(series);
      if (spot) needCpus += this.forecastOf(series) * (this.ctx.machineTypes.get(type)?.cpus ?? 0);
    }
    const ownNeedCpus = needCpus * (1 - projection.spotOwnReleaseShare);
    return { needCpus, netCpus: Math.max(0, ownNeedCpus - projection.spotReleasedCpus) };
  }

  /** The machines that the slot will newly need. */
  private forecastOf(series: string): number {
    const ensemble = this.ensemble(series);
    // Before the first slot has ended, its stock of old work indicates what a slot may bring.
    if (ensemble.series.length === 0) return (this.slotNeed.get(series) ?? 0) * FIRST_SLOT_SHARE;
    const arrivals = this.arrivals[readSeriesKey(series).spot ? 'spot' : 'onDemand'];
    return ensemble.forecast() * arrivals.borneOut(this.ctx.clock.now(), this.slot);
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
      // On-demand machines are forecast for work that must not wait for a boot.
      beta: spot ? spotBeta : onDemandBeta,
      hit: hitS,
      miss: type ? type.bootTime / 1000 : slot / 1000,
      idle: idleCostS,
    };
  }
}
