/** Demand forecast for one series by several predictors, weighted by the cost of their errors. */
import type { Predictor } from './predictors.js';

/** The parameters of the asymmetric Cloud Prediction Cost (the paper's equations 2 to 5). */
export interface PredictionCost {
  /** The weight of waiting relative to idle machines, between 0 and 1. */
  readonly beta: number;
  /** The wait for work if a machine is available (T_avail), in seconds. */
  readonly hitWaitS: number;
  /** The wait for work if a machine has to be created first (T_delay), in seconds. */
  readonly missWaitS: number;
  /** The cost of one machine that is idle for a slot (R_vm), as an equivalent wait in seconds. */
  readonly idleCostS: number;
}

/** Returns the paper's Cloud Prediction Cost of one slot (equations 2 to 5). */
export function predictionCost(cost: PredictionCost, actual: number, forecast: number): number {
  const waitS = Math.min(actual, forecast) * cost.hitWaitS + Math.max(0, actual - forecast) * cost.missWaitS;
  const idleS = Math.max(0, forecast - actual) * cost.idleCostS;
  return cost.beta * waitS + (1 - cost.beta) * idleS;
}

/** The stored state of an ensemble. The names of the fields and of the predictors are part of the stored format. */
export interface EnsembleRecord {
  readonly series: number[];
  readonly weights: Record<string, number>;
}

/**
 * The number of slots that a series retains: enough for the predictor with the longest window, unless `average_slots`
 * is set to more, and few enough to drop old bursts.
 */
const RETAINED_SLOT_COUNT = 40;
/**
 * The fraction of the previous weight that each update retains, so that a single unusual slot does not reverse the
 * weights.
 */
const PREVIOUS_WEIGHT_RATIO = 0.5;
/** Added to each cost so that the inverse of a cost of 0 is finite. */
const MIN_COST = 1e-3;
/** The minimum number of slots for which the spread of a series is meaningful. */
const MIN_SPREAD_SLOT_COUNT = 4;

const roundToThousandths = (value: number): number => Math.round(value * 1000) / 1000;

/** A cost-weighted linear combination of predictors for one series (the paper's equation 6). */
export class Ensemble {
  readonly series: number[] = [];
  private readonly weights = new Map<string, number>();
  /** The result of `forecast()`; null: not computed since the series last changed. */
  private cachedForecast: number | null = null;

  constructor(
    private readonly predictors: readonly Predictor[],
    private readonly cost: PredictionCost,
  ) {
    for (const { name } of predictors) this.weights.set(name, 1 / predictors.length);
  }

  weight(name: string): number {
    return this.weights.get(name) ?? 0;
  }

  /**
   * Returns the forecast demand of the next slot. The forecast is read many times per slot, so the value is cached
   * until `observe` or `restore` changes the series.
   */
  forecast(): number {
    this.cachedForecast ??= this.predictors.reduce(
      (sum, predictor) => sum + this.weight(predictor.name) * predictor.predict(this.series),
      0,
    );
    return this.cachedForecast;
  }

  /**
   * Adds the demand of the slot that ended, clipped to `burstLimit()`. Unless the slot is the first of the series, the
   * predictors are scored by the unclipped demand and weighted by inverse cost; the update as printed in the paper
   * (equations 7 and 8) would favour the costliest predictor. A slot affected by a stockout is added without scoring
   * (`isScored` is false), since refused machine requests are not prediction errors.
   */
  observe(actual: number, isScored = true): void {
    this.cachedForecast = null;
    if (isScored && this.series.length > 0) this.updateWeights(actual);
    this.series.push(Math.min(actual, this.burstLimit()));
    if (this.series.length > RETAINED_SLOT_COUNT) this.series.shift();
  }

  private updateWeights(actual: number): void {
    const inverseCosts = this.predictors.map(
      (predictor) => 1 / (predictionCost(this.cost, actual, predictor.predict(this.series)) + MIN_COST),
    );
    const totalInverseCost = inverseCosts.reduce((sum, inverse) => sum + inverse, 0);
    this.predictors.forEach(({ name }, index) => {
      const normalizedWeight = (inverseCosts[index] ?? 0) / totalInverseCost;
      this.weights.set(
        name,
        PREVIOUS_WEIGHT_RATIO * this.weight(name) + (1 - PREVIOUS_WEIGHT_RATIO) * normalizedWeight,
      );
    });
  }

  /**
   * Returns the limit to which a slot's demand is clipped before the demand is added to the series. Without the
   * limit, a burst of a few slots far above the usual spread would raise every average long after the burst.
   */
  private burstLimit(): number {
    if (this.series.length < MIN_SPREAD_SLOT_COUNT) return Infinity;
    const sorted = [...this.series].sort((left, right) => left - right);
    const quantile = (share: number): number => sorted[Math.floor((sorted.length - 1) * share)] ?? 0;
    const spread = Math.max(quantile(0.75) - quantile(0.25), 0.25 * quantile(0.5));
    return Math.max(1, quantile(0.5) + 3 * spread);
  }

  record(): EnsembleRecord {
    return { series: this.series.map(roundToThousandths), weights: Object.fromEntries(this.weights) };
  }

  /**
   * Restores the state from a stored record; a value without a series is ignored. Weights are restored only if the
   * record has a weight for each predictor.
   */
  restore(stored: unknown): void {
    this.cachedForecast = null;
    const record = stored as Partial<EnsembleRecord> | null | undefined;
    if (!record || !Array.isArray(record.series)) return;
    this.series.splice(0, this.series.length, ...record.series.filter((value) => typeof value === 'number'));
    const weights = this.predictors.map(({ name }) => record.weights?.[name]);
    if (!weights.every((weight) => typeof weight === 'number')) return;
    this.predictors.forEach(({ name }, index) => this.weights.set(name, weights[index] as number));
  }
}
