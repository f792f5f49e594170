import { describe, expect, it } from 'vitest';
import { Arrivals } from '../../src/forecast/arrivals.js';
import { seconds, type MonotonicTime } from '../../src/model/time.js';
import { Ensemble, predictionCost } from '../../src/forecast/ensemble.js';
import { Lifetimes } from '../../src/forecast/lifetimes.js';
import { autoregression, movingAverage } from '../../src/forecast/predictors.js';

const COST = { beta: 0.5, hitWaitS: 10, missWaitS: 1200, idleCostS: 500 };

describe('predictionCost, with the paper’s own figures', () => {
  it('charges waste when the forecast was too high', () => {
    // P = min(2, 5)·10 = 20, R = 3·500 = 1500, half of each
    expect(predictionCost(COST, 2, 5)).toBe(760);
  });

  it('charges the wait when the forecast was too low', () => {
    // P = 2·10 + 3·1200 = 3620, R = 0
    expect(predictionCost(COST, 5, 2)).toBe(1810);
  });
});

describe('predictors', () => {
  it('average the last slots', () => {
    expect(movingAverage(2).predict([9, 1, 3])).toBe(2);
    expect(movingAverage(4).predict([])).toBe(0);
  });

  it('regress on an alternating series', () => {
    const series = Array.from({ length: 24 }, (_, index) => (index % 2 === 0 ? 4 : 0));
    const next = autoregression(7).predict(series);
    expect(next).toBeGreaterThan(3);
    expect(next).toBeLessThan(4.5);
  });

  it('fall back to the mean while the series is short', () => {
    expect(autoregression(7).predict([3, 5])).toBe(4);
  });
});

describe('Ensemble', () => {
  const low = { name: 'low', predict: () => 0 };
  const right = { name: 'right', predict: () => 4 };

  it('begins with equal weights and moves them to the cheaper predictor', () => {
    const ensemble = new Ensemble([low, right], COST);
    ensemble.observe(4);
    expect(ensemble.forecast()).toBe(2);
    // inverse costs: low 1/(0.5·4·1200) = 1/2400, right 1/(0.5·4·10) = 1/20; half the old weight stays
    ensemble.observe(4);
    expect(ensemble.weight('right')).toBeCloseTo(0.5 * 0.5 + 0.5 * (2400 / 2420), 3);
  });

  // Guards against refused rentals teaching the ensemble to over-predict after a stockout.
  it('does not score a slot that a stockout spoiled', () => {
    const ensemble = new Ensemble([low, right], COST);
    ensemble.observe(4);
    ensemble.observe(4, false);
    expect(ensemble.weight('right')).toBe(0.5);
  });

  it('is restored from its record', () => {
    const ensemble = new Ensemble([low, right], COST);
    for (const demand of [4, 4, 3]) ensemble.observe(demand);
    const restored = new Ensemble([low, right], COST);
    restored.restore(JSON.parse(JSON.stringify(ensemble.record())));
    expect(restored.forecast()).toBe(ensemble.forecast());
  });
});

describe('Lifetimes.endProbability', () => {
  it('is conditional on the age that was reached', () => {
    const lifetimes = new Lifetimes();
    for (const runS of [10, 10, 10, 10, 10, 30, 30, 30, 30, 30]) lifetimes.recordRun('scan', runS * 1000);
    expect(lifetimes.endProbability('scan', 0, 15_000, 0)).toBeCloseTo(0.5, 1);
    expect(lifetimes.endProbability('scan', 20_000, 15_000, 0)).toBe(1);
    expect(lifetimes.endProbability('scan', 12_000, 5_000, 0)).toBeCloseTo(0, 1);
  });

  it('uses the owner’s estimate before any run was recorded', () => {
    expect(new Lifetimes().endProbability('new', 0, 30_000, 30_000)).toBeCloseTo(0.5);
  });
});

describe('Arrivals.confirmedShare', () => {
  it('falls within a slot after arrivals cease, but never for few of them', () => {
    const at = (timeS: number): MonotonicTime => (timeS * 1000) as MonotonicTime;
    const many = new Arrivals();
    const few = new Arrivals();
    for (let timeS = 0; timeS < 90; timeS += 3) many.recordArrival(at(timeS));
    for (let timeS = 0; timeS < 90; timeS += 15) few.recordArrival(at(timeS));
    for (let slot = 0; slot < 3; slot++) {
      many.endSlot();
      few.endSlot();
    }
    expect(many.confirmedShare(at(90), seconds(30))).toBe(1);
    // five of ten in the last 30 s are within what chance brings
    expect(many.confirmedShare(at(102), seconds(30))).toBe(1);
    expect(many.confirmedShare(at(120), seconds(30))).toBeLessThan(0.2);
    expect(few.confirmedShare(at(200), seconds(30))).toBe(1);
  });
});
