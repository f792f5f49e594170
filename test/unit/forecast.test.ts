import { describe, expect, it } from 'vitest';
import { ArrivalDropDetector } from '../../src/forecast/arrival-drop-detector.js';
import { seconds, type MonotonicTime } from '../../src/model/time.js';
import { Ensemble, predictionCost } from '../../src/forecast/ensemble.js';
import { Lifetimes } from '../../src/forecast/lifetimes.js';
import { autoregression, movingAverage } from '../../src/forecast/predictors.js';

const COST = { beta: 0.5, hitWaitS: 10, missWaitS: 1200, idleCostS: 500 };

describe('predictionCost, with the paper’s own figures', () => {
  it('charges idle machines when the forecast was too high', () => {
    // P = min(2, 5)·10 = 20, R = 3·500 = 1500, half of each
    expect(predictionCost(COST, 2, 5)).toBe(760);
  });

  it('charges the wait when the forecast was too low', () => {
    // P = 2·10 + 3·1200 = 3620, R = 0
    expect(predictionCost(COST, 5, 2)).toBe(1810);
  });
});

describe('predictors', () => {
  it('average the latest slots', () => {
    expect(movingAverage(2).predict([9, 1, 3])).toBe(2);
    expect(movingAverage(4).predict([])).toBe(0);
  });

  it('extrapolate an alternating series by autoregression', () => {
    const series = Array.from({ length: 24 }, (_, index) => (index % 2 === 0 ? 4 : 0));
    const next = autoregression(7).predict(series);
    expect(next).toBeGreaterThan(3);
    expect(next).toBeLessThan(4.5);
  });

  it('fall back to the mean of a series too short for autoregression', () => {
    expect(autoregression(7).predict([3, 5])).toBe(4);
  });
});

describe('Ensemble', () => {
  const low = { name: 'low', predict: () => 0 };
  const exact = { name: 'exact', predict: () => 4 };

  it('starts with equal weights and shifts weight to the predictor with the lower cost', () => {
    const ensemble = new Ensemble([low, exact], COST);
    ensemble.observe(4);
    expect(ensemble.forecast()).toBe(2);
    // Inverse costs: low 1/(0.5·4·1200) = 1/2400, exact 1/(0.5·4·10) = 1/20; half of the old weight is retained.
    ensemble.observe(4);
    expect(ensemble.weight('exact')).toBeCloseTo(0.5 * 0.5 + 0.5 * (2400 / 2420), 3);
  });

  // Guards against over-prediction after a stockout: scoring a slot with refused machine requests would give weight
  // to the wrong predictors.
  it('does not score a slot that is affected by a stockout', () => {
    const ensemble = new Ensemble([low, exact], COST);
    ensemble.observe(4);
    ensemble.observe(4, false);
    expect(ensemble.weight('exact')).toBe(0.5);
  });

  it('restores series and weights from a record', () => {
    const ensemble = new Ensemble([low, exact], COST);
    for (const demand of [4, 4, 3]) ensemble.observe(demand);
    const restored = new Ensemble([low, exact], COST);
    restored.restore(JSON.parse(JSON.stringify(ensemble.record())));
    expect(restored.forecast()).toBe(ensemble.forecast());
  });
});

describe('Lifetimes.endProbability', () => {
  it('is conditional on the time that a task has already run', () => {
    const lifetimes = new Lifetimes();
    for (const runS of [10, 10, 10, 10, 10, 30, 30, 30, 30, 30]) lifetimes.recordRun('scan', runS * 1000);
    expect(lifetimes.endProbability('scan', 0, 15_000, 0)).toBeCloseTo(0.5, 1);
    expect(lifetimes.endProbability('scan', 20_000, 15_000, 0)).toBe(1);
    expect(lifetimes.endProbability('scan', 12_000, 5_000, 0)).toBeCloseTo(0, 1);
  });

  it('uses the owner’s estimate before any run of the class is recorded', () => {
    expect(new Lifetimes().endProbability('new', 0, 30_000, 30_000)).toBeCloseTo(0.5);
  });
});

describe('ArrivalDropDetector.supportedForecastRatio', () => {
  it('drops within a slot after arrivals stop, but not for a series with few arrivals per slot', () => {
    const at = (timeS: number): MonotonicTime => (timeS * 1000) as MonotonicTime;
    const frequentArrivals = new ArrivalDropDetector();
    const rareArrivals = new ArrivalDropDetector();
    for (let timeS = 0; timeS < 90; timeS += 3) frequentArrivals.recordArrival(at(timeS));
    for (let timeS = 0; timeS < 90; timeS += 15) rareArrivals.recordArrival(at(timeS));
    for (let slot = 0; slot < 3; slot++) {
      frequentArrivals.endSlot();
      rareArrivals.endSlot();
    }
    expect(frequentArrivals.supportedForecastRatio(at(90), seconds(30))).toBe(1);
    // A drop to about half of the mean of ten arrivals per 30 s is within random variation.
    expect(frequentArrivals.supportedForecastRatio(at(102), seconds(30))).toBe(1);
    expect(frequentArrivals.supportedForecastRatio(at(120), seconds(30))).toBeLessThan(0.2);
    expect(rareArrivals.supportedForecastRatio(at(200), seconds(30))).toBe(1);
  });
});
