/** The paper's demand forecast: how many additional machines of each series the next slot will need. */
import type { ControllerContext } from '../core/context.js';
import { ArrivalDropDetector } from '../forecast/arrival-drop-detector.js';
import { Ensemble, type PredictionCost } from '../forecast/ensemble.js';
import { autoregression, highQuantile, movingAverage } from '../forecast/predictors.js';
import { type Millis } from '../model/time.js';
import { EMPTY_ZONE_COUNTS } from '../scheduler/placement-rule.js';
import type { ActiveJob } from '../scheduler/active-job.js';
import type { CapacityProjection } from './capacity-projection.js';
import { allPools, cheapestPool, parseSeriesKey, seriesKey, tasksPerMachine } from './capacity-plan.js';

/**
 * The part of the first slot's demand that counts as the arrivals of one slot; the rest is work that had accumulated
 * at the site before.
 */
const FIRST_SLOT_DEMAND_RATIO = 0.3;
/**
 * The tolerated shortfall, as a fraction of a machine. No machine is requested for a smaller shortfall, and a surplus
 * machine is deleted even if the deletion leaves such a shortfall.
 */
export const NEGLIGIBLE_MACHINE_RATIO = 0.3;
const AUTOREGRESSION_SLOT_COUNT = 7;
/** The number of latest slots that the high-quantile predictor looks at. */
const HIGH_QUANTILE_SLOT_COUNT = 8;
/** The fraction of past slots whose demand may exceed the high-quantile prediction. */
const HIGH_QUANTILE_EXCEEDANCE_RATIO = 0.15;

/** The figures that are logged for one series when a slot ends, in machines. */
interface SlotFigures {
  readonly need: number;
  readonly forecast: number;
  readonly releases: number;
  readonly reserve: number;
}

/** The forecast demand of all spot series together, in CPUs. */
interface SpotDemand {
  readonly needCpus: number;
  /** The demand less the CPUs that spot work is expected to release. */
  readonly netCpus: number;
}

const roundToHundredths = (value: number): number => Math.round(value * 100) / 100;

/**
 * Forecasts demand with one ensemble of predictors per series. Each slot scores the predictors by the cost of their
 * errors.
 */
export class DemandForecast {
  private readonly ensembles = new Map<string, Ensemble>();
  /** The new demand in the current slot, in machines, by series. */
  private readonly slotNeed = new Map<string, number>();
  private readonly arrivalDetectors = {
    spot: new ArrivalDropDetector(),
    onDemand: new ArrivalDropDetector(),
  };
  /** The series of which a pool was sold out in the current slot; the slot does not score their predictors. */
  private readonly soldOutInSlot = new Set<string>();
  private isFirstSlot = true;

  constructor(
    private readonly ctx: Pick<ControllerContext, 'clock' | 'operators' | 'settings' | 'machineTypes'>,
  ) {}

  /** The length of a forecast slot. */
  get slotMs(): Millis {
    return this.ctx.operators.forecast.slot;
  }

  /** All series with a stored or current forecast, or with demand in the current slot. */
  get series(): ReadonlySet<string> {
    return new Set([...this.ensembles.keys(), ...this.slotNeed.keys()]);
  }

  /** Restores the ensemble of a series from the record of an earlier leader. */
  restore(series: string, stored: unknown): void {
    this.ensembleOf(series).restore(stored);
  }

  /** Returns the records of all ensembles for storage, by series. */
  records(): Map<string, unknown> {
    return new Map([...this.ensembles].map(([series, ensemble]) => [series, ensemble.record()]));
  }

  /**
   * Records the demand of a job that became ready, limited by its team's CPU quota, for the cheapest suitable machine
   * type, whether or not that type is sold out. Called once per job in a leadership term.
   */
  recordDemand({ spec }: ActiveJob): void {
    const pool = cheapestPool(
      { spec, tasks: spec.taskCount, zones: EMPTY_ZONE_COUNTS },
      allPools(this.ctx.machineTypes.values()),
    );
    if (!pool) return;
    const team = this.ctx.settings.teams.find(({ id }) => id === spec.team);
    const quotaTasks =
      team?.cpusMax != null && spec.cpus > 0 ? Math.floor(team.cpusMax / spec.cpus) : Infinity;
    const machines = Math.min(spec.taskCount, quotaTasks) / tasksPerMachine(spec, pool.type);
    const key = seriesKey(pool.type.id, pool.spot);
    this.slotNeed.set(key, (this.slotNeed.get(key) ?? 0) + machines);
    this.arrivalDetectors[pool.spot ? 'spot' : 'onDemand'].recordArrival(this.ctx.clock.now());
  }

  /** Records that a pool of the series supplied fewer machines than were requested. */
  recordSoldOut(series: string): void {
    this.soldOutInSlot.add(series);
  }

  /** Ends the slot: scores the predictors by the slot's actual demand. Returns the slot's figures by series. */
  endSlot(projection: CapacityProjection): Record<string, SlotFigures> {
    const wasFirstSlot = this.isFirstSlot;
    this.isFirstSlot = false;
    const figures: Record<string, SlotFigures> = {};
    for (const series of this.slotNeed.keys()) this.ensembleOf(series);
    for (const [series, ensemble] of this.ensembles) {
      // The first slot of a site includes work that had accumulated before; only a part of this demand counts as the
      // arrivals of one slot.
      const demandRatio = wasFirstSlot && ensemble.series.length === 0 ? FIRST_SLOT_DEMAND_RATIO : 1;
      const need = (this.slotNeed.get(series) ?? 0) * demandRatio;
      ensemble.observe(need, !this.soldOutInSlot.has(series));
      figures[series] = {
        need: roundToHundredths(need),
        forecast: roundToHundredths(ensemble.forecast()),
        releases: roundToHundredths(projection.releases.get(series) ?? 0),
        reserve: roundToHundredths(projection.reserves.get(series) ?? 0),
      };
    }
    return figures;
  }

  /**
   * Begins the next slot by resetting the demand counts. Called after `endSlot` and after the machines that the
   * forecast requires have been requested.
   */
  beginSlot(): void {
    this.slotNeed.clear();
    this.arrivalDetectors.spot.endSlot();
    this.arrivalDetectors.onDemand.endSlot();
    this.soldOutInSlot.clear();
  }

  /**
   * Returns the target reserve of a series, in machines: the forecast demand less the expected releases, and at least 1
   * for an on-demand type with service replicas. The reserve of on-demand machines covers a slot and a boot, since a
   * requested machine is usable only after its boot and work on on-demand machines must wait neither for the slot's end
   * nor for the boot.
   */
  targetReserve(series: string, projection: CapacityProjection): number {
    const { type: id, spot } = parseSeriesKey(series);
    const forecast = this.forecastMachines(series);
    if (spot) {
      const { needCpus, netCpus } = this.spotDemand(projection);
      return needCpus > 0 ? (forecast * netCpus) / needCpus : 0;
    }
    const netSlotNeed = forecast - (projection.releases.get(series) ?? 0);
    const type = this.ctx.machineTypes.get(id);
    if (!type) return netSlotNeed;
    // A spare machine takes over the replicas of a failed machine without waiting for a boot.
    const minReserve = projection.typesWithReplicas.has(type.id) ? 1 : 0;
    return Math.max(minReserve, netSlotNeed * (1 + type.bootTime / this.slotMs));
  }

  /**
   * Returns the number of machines to request ahead of demand: the target reserve less the current reserve and the
   * tolerated shortfall, rounded up; 0 or less: no machine is missing.
   */
  missingMachines(series: string, projection: CapacityProjection): number {
    const { type: id, spot } = parseSeriesKey(series);
    const reserve = projection.reserves.get(series) ?? 0;
    const count = Math.ceil(this.targetReserve(series, projection) - reserve - NEGLIGIBLE_MACHINE_RATIO);
    if (!spot) return count;
    // Spot work also runs in the idle capacity of other series, on-demand machines included.
    const missingCpus = this.spotDemand(projection).netCpus - projection.spotIdleCpus;
    const cpusPerMachine = this.ctx.machineTypes.get(id)?.cpus ?? 1;
    return Math.min(count, Math.ceil(missingCpus / cpusPerMachine - NEGLIGIBLE_MACHINE_RATIO));
  }

  /**
   * Returns the forecast demand of all spot series, gross and net of the CPUs that running spot work and the new work
   * itself are expected to release. The net demand is computed over all types together, because spot work runs wherever
   * capacity is free: computed per type, it would keep machines for demand that releases of other types already cover.
   */
  spotDemand(projection: CapacityProjection): SpotDemand {
    let needCpus = 0;
    for (const series of this.ensembles.keys()) {
      const { type, spot } = parseSeriesKey(series);
      if (spot) needCpus += this.forecastMachines(series) * (this.ctx.machineTypes.get(type)?.cpus ?? 0);
    }
    const carriedOverNeedCpus = needCpus * (1 - projection.spotSameSlotReleaseRatio);
    return { needCpus, netCpus: Math.max(0, carriedOverNeedCpus - projection.spotReleasedCpus) };
  }

  /** Returns the forecast demand of a series for the next slot, in machines, reduced if arrivals have dropped. */
  private forecastMachines(series: string): number {
    const ensemble = this.ensembleOf(series);
    // Until the first slot has ended, the forecast is derived from the work that had accumulated at the site.
    if (ensemble.series.length === 0) return (this.slotNeed.get(series) ?? 0) * FIRST_SLOT_DEMAND_RATIO;
    const arrivalDetector = this.arrivalDetectors[parseSeriesKey(series).spot ? 'spot' : 'onDemand'];
    return ensemble.forecast() * arrivalDetector.supportedForecastRatio(this.ctx.clock.now(), this.slotMs);
  }

  private ensembleOf(series: string): Ensemble {
    let ensemble = this.ensembles.get(series);
    if (!ensemble) {
      const predictors = [
        movingAverage(this.ctx.operators.forecast.averageSlots),
        autoregression(AUTOREGRESSION_SLOT_COUNT),
        highQuantile(HIGH_QUANTILE_SLOT_COUNT, HIGH_QUANTILE_EXCEEDANCE_RATIO),
      ];
      ensemble = new Ensemble(predictors, this.predictionCostOf(series));
      this.ensembles.set(series, ensemble);
    }
    return ensemble;
  }

  private predictionCostOf(series: string): PredictionCost {
    const { spotBeta, onDemandBeta, hitS, idleCostS, slot } = this.ctx.operators.forecast;
    const { type: id, spot } = parseSeriesKey(series);
    const type = this.ctx.machineTypes.get(id);
    return {
      // On-demand machines have a beta of their own, because their work must not wait for a boot.
      beta: spot ? spotBeta : onDemandBeta,
      hitWaitS: hitS,
      missWaitS: type ? type.bootTime / 1000 : slot / 1000,
      idleCostS,
    };
  }
}
