import type { Predictor } from './predictors.js';

/** The asymmetric Cloud Prediction Cost (the paper's equations 2 to 5). */
export interface PredictionCost {
  readonly beta: number;
  /** Wait when a machine is there (T_avail), s. */
  readonly hitWaitS: number;
  /** Wait when one has to be rented (T_delay), s. */
  readonly missWaitS: number;
  /** Cost of one machine that idles for a slot (R_vm), in the same seconds. */
  readonly idleCostS: number;
}

/** The paper's Cloud Prediction Cost of one slot (equations 2 to 5). */
export function predictionCost(c: PredictionCost, actual: number, forecast: number): number {
  const late = Math.min(actual, forecast) * c.hitWaitS + Math.max(0, actual - forecast) * c.missWaitS;
  const waste = Math.max(0, forecast - actual) * c.idleCostS;
  return c.beta * late + (1 - c.beta) * waste;
}

/** What of an ensemble is stored between leaderships. */
export interface EnsembleRecord {
  readonly series: number[];
  readonly weights: Record<string, number>;
}

/** Slots kept: enough for the longest predictor, and old bursts fall out. */
const KEEP = 40;
/** How much of the old weight stays at each update: one odd slot does not turn it over. */
const MEMORY = 0.5;

/** A cost-weighted linear combination of predictors for one machine type (the paper's equation 6). */
export class Ensemble {
  readonly series: number[] = [];
  private readonly weights = new Map<string, number>();
  private latest: number | null = null;

  constructor(
    private readonly predictors: readonly Predictor[],
    private readonly cost: PredictionCost,
  ) {
    for (const p of predictors) this.weights.set(p.name, 1 / predictors.length);
  }

  weight(name: string): number {
    return this.weights.get(name) ?? 0;
  }

  /** Asked many times in a slot, and fitted once: only `observe` and `restore` change it. */
  forecast(): number {
    this.latest ??= this.predictors.reduce((sum, p) => sum + this.weight(p.name) * p.predict(this.series), 0);
    return this.latest;
  }

  /**
   * Scores the predictors on the slot that ended and weights them by inverse cost: the printed
   * update (equations 7 and 8) would favour the costliest. A slot that a stockout spoiled is
   * not scored: refused rentals are not a predictor's fault.
   */
  observe(actual: number, scored = true): void {
    this.latest = null;
    if (scored && this.series.length > 0) {
      const inverse = this.predictors.map(
        (p) => 1 / (predictionCost(this.cost, actual, p.predict(this.series)) + 1e-3),
      );
      const total = inverse.reduce((a, b) => a + b, 0);
      this.predictors.forEach((p, i) => {
        const fresh = (inverse[i] ?? 0) / total;
        this.weights.set(p.name, MEMORY * this.weight(p.name) + (1 - MEMORY) * fresh);
      });
    }
    this.series.push(Math.min(actual, this.burstLimit()));
    if (this.series.length > KEEP) this.series.shift();
  }

  /**
   * A burst of a few slots would lift every average long after its end: what lies far above the
   * usual spread enters the series clipped.
   */
  private burstLimit(): number {
    if (this.series.length < 4) return Infinity;
    const sorted = [...this.series].sort((a, b) => a - b);
    const at = (share: number): number => sorted[Math.floor((sorted.length - 1) * share)] ?? 0;
    return Math.max(1, at(0.5) + 3 * Math.max(at(0.75) - at(0.25), 0.25 * at(0.5)));
  }

  record(): EnsembleRecord {
    return {
      series: this.series.map((v) => Math.round(v * 1000) / 1000),
      weights: Object.fromEntries(this.weights),
    };
  }

  restore(stored: unknown): void {
    this.latest = null;
    const v = stored as Partial<EnsembleRecord> | null | undefined;
    if (!v || !Array.isArray(v.series)) return;
    this.series.splice(0, this.series.length, ...v.series.filter((n) => typeof n === 'number'));
    const weights = this.predictors.map((p) => v.weights?.[p.name]);
    if (weights.every((w) => typeof w === 'number')) {
      this.predictors.forEach((p, i) => this.weights.set(p.name, weights[i] as number));
    }
  }
}
