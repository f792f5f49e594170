/** A forecast for one series of demand: several predictors, weighted by what their errors would have cost. */
import type { Predictor } from './predictors.js';

/** The parameters of the asymmetric Cloud Prediction Cost (the paper's equations 2 to 5). */
export interface PredictionCost {
  /** The weight of waits against idle machines, between 0 and 1. */
  readonly beta: number;
  /** Wait when a machine is there (T_avail), s. */
  readonly hitWaitS: number;
  /** Wait when one has to be rented (T_delay), s. */
  readonly missWaitS: number;
  /** Cost of one machine that idles for a slot (R_vm), in the same seconds. */
  readonly idleCostS: number;
}

/** The paper's Cloud Prediction Cost of one slot (equations 2 to 5). */
export function predictionCost(cost: PredictionCost, actual: number, forecast: number): number {
  const waitS = Math.min(actual, forecast) * cost.hitWaitS + Math.max(0, actual - forecast) * cost.missWaitS;
  const idleS = Math.max(0, forecast - actual) * cost.idleCostS;
  return cost.beta * waitS + (1 - cost.beta) * idleS;
}

/** The stored state of an ensemble; the names of its fields and of the predictors never change. */
export interface EnsembleRecord {
  readonly series: number[];
  readonly weights: Record<string, number>;
}

/** Slots kept: enough for the longest predictor, and old bursts fall out. */
const KEPT_SLOTS = 40;
/** How much of the old weight stays at each update: one odd slot does not turn it over. */
const OLD_WEIGHT_SHARE = 0.5;
/** Keeps the inverse of a cost of 0 finite. */
const MIN_COST = 1e-3;
/** With fewer slots than this their spread says nothing. */
const MIN_SPREAD_SLOTS = 4;

const roundToThousandths = (value: number): number => Math.round(value * 1000) / 1000;

/** A cost-weighted linear combination of predictors for one machine type (the paper's equation 6). */
export class Ensemble {
  readonly series: number[] = [];
  private readonly weights = new Map<string, number>();
  /** The forecast for the current slot, once it was asked for. */
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

  /** The demand of the next slot. Read many times in a slot, and computed once: only `observe` and `restore` change it. */
  forecast(): number {
    this.cachedForecast ??= this.predictors.reduce(
      (sum, predictor) => sum + this.weight(predictor.name) * predictor.predict(this.series),
      0,
    );
    return this.cachedForecast;
  }

  /**
   * Adds the demand of the slot that ended, scores the predictors on it and weights them by inverse cost: the printed
   * update (equations 7 and 8) would favour the costliest. A slot that a stockout spoiled is not scored: refused
   * rentals are not a predictor's fault.
   */
  observe(actual: number, isScored = true): void {
    this.cachedForecast = null;
    if (isScored && this.series.length > 0) this.updateWeights(actual);
    this.series.push(Math.min(actual, this.burstLimit()));
    if (this.series.length > KEPT_SLOTS) this.series.shift();
  }

  private updateWeights(actual: number): void {
    const inverseCosts = this.predictors.map(
      (predictor) => 1 / (predictionCost(this.cost, actual, predictor.predict(this.series)) + MIN_COST),
    );
    const total = inverseCosts.reduce((sum, inverse) => sum + inverse, 0);
    this.predictors.forEach(({ name }, index) => {
      const scored = (inverseCosts[index] ?? 0) / total;
      this.weights.set(name, OLD_WEIGHT_SHARE * this.weight(name) + (1 - OLD_WEIGHT_SHARE) * scored);
    });
  }

  /**
   * The value at which a slot is clipped before it enters the series: a burst of a few slots, far above the usual
   * spread, would otherwise raise every average long after its end.
   */
  private burstLimit(): number {
    if (this.series.length < MIN_SPREAD_SLOTS) return Infinity;
    const sorted = [...this.series].sort((a, b) => a - b);
    const quantile = (share: number): number => sorted[Math.floor((sorted.length - 1) * share)] ?? 0;
    const spread = Math.max(quantile(0.75) - quantile(0.25), 0.25 * quantile(0.5));
    return Math.max(1, quantile(0.5) + 3 * spread);
  }

  record(): EnsembleRecord {
    return { series: this.series.map(roundToThousandths), weights: Object.fromEntries(this.weights) };
  }

  /** Restores the state from a stored record; weights only where it has those of all predictors. */
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
