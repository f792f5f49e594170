/** Time series predictors for demand: moving average, autoregression and high quantile. */

/** Predicts the next value of a series that is ordered from oldest to newest. Predictors have no state. */
export interface Predictor {
  /** The key under which the predictor's weight is stored; part of the stored format. */
  readonly name: string;
  predict(series: readonly number[]): number;
}

const sumOf = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0);

/** Returns a predictor of the mean of the last `window` slots. */
export function movingAverage(window: number): Predictor {
  return {
    name: `average-${window}`,
    predict(series) {
      const last = series.slice(-window);
      return last.length === 0 ? 0 : sumOf(last) / last.length;
    },
  };
}

/** The smallest absolute value of a pivot; a smaller pivot counts as zero, and the system as singular. */
const MIN_PIVOT = 1e-12;
/** The ridge parameter of the fit, relative to the mean sum of squares of the lagged values. */
const RIDGE_RATIO = 0.1;
/** Added to the ridge parameter so that the equations of a constant series have a solution. */
const MIN_RIDGE = 1e-9;
/** The maximum ratio of a forecast to the largest value of the series. */
const MAX_GROWTH_RATIO = 2;

const at = (values: readonly number[] | undefined, index: number): number => values?.[index] ?? 0;

/** Returns the index of the row, from row `column` on, with the largest absolute value in this column. */
function findPivotRow(rows: readonly number[][], column: number): number {
  let pivot = column;
  for (let row = column + 1; row < rows.length; row++) {
    if (Math.abs(at(rows[row], column)) > Math.abs(at(rows[pivot], column))) pivot = row;
  }
  return pivot;
}

/** Subtracts a multiple of the pivot row from `row`, so that the value of `row` in this column becomes zero. */
function eliminate(row: number[], pivot: readonly number[], column: number): void {
  const factor = at(row, column) / at(pivot, column);
  for (let index = column; index < row.length; index++) {
    row[index] = at(row, index) - factor * at(pivot, index);
  }
}

/** A system of linear equations: `matrix` · x = `constants`. */
interface LinearSystem {
  readonly matrix: number[][];
  readonly constants: number[];
}

/** Solves a system of linear equations by Gaussian elimination. Returns null if the system is singular. */
function solveLinearSystem({ matrix, constants }: LinearSystem): number[] | null {
  const rows = matrix.map((row, index) => [...row, at(constants, index)]);
  for (let column = 0; column < constants.length; column++) {
    const pivotIndex = findPivotRow(rows, column);
    const pivot = rows[pivotIndex];
    if (!pivot || Math.abs(at(pivot, column)) < MIN_PIVOT) return null;
    rows[pivotIndex] = rows[column] as number[];
    rows[column] = pivot;
    for (const row of rows) if (row !== pivot) eliminate(row, pivot, column);
  }
  return rows.map((row, index) => at(row, constants.length) / (row[index] ?? 1));
}

/** Returns the normal equations of a ridge regression of each value on the `order` preceding values. */
function normalEquations(series: readonly number[], order: number): LinearSystem {
  const matrix = Array.from({ length: order }, () => new Array<number>(order).fill(0));
  const constants = new Array<number>(order).fill(0);
  let sumOfSquares = 0;
  for (let time = order; time < series.length; time++) {
    matrix.forEach((row, lag) => {
      const earlier = at(series, time - 1 - lag);
      sumOfSquares += earlier * earlier;
      constants[lag] = at(constants, lag) + earlier * at(series, time);
      for (let otherLag = 0; otherLag < order; otherLag++) {
        row[otherLag] = at(row, otherLag) + earlier * at(series, time - 1 - otherLag);
      }
    });
  }
  const ridge = (RIDGE_RATIO * sumOfSquares) / order + MIN_RIDGE;
  matrix.forEach((row, lag) => {
    row[lag] = at(row, lag) + ridge;
  });
  return { matrix, constants };
}

/**
 * Returns a predictor by autoregression over the last `order` slots, fitted by ridge regression around the mean. The
 * order is reduced for a short series to fewer than half of its values; a predictor of order 0 returns the mean.
 */
export function autoregression(order: number): Predictor {
  return {
    name: `regression-${order}`,
    predict(series) {
      if (series.length === 0) return 0;
      const mean = sumOf(series) / series.length;
      const usableOrder = Math.min(order, Math.floor((series.length - 1) / 2));
      if (usableOrder === 0) return mean;
      const centred = series.map((value) => value - mean);
      const weights = solveLinearSystem(normalEquations(centred, usableOrder));
      if (!weights) return mean;
      const newest = centred.length - 1;
      const next = weights.reduce((sum, weight, lag) => sum + weight * at(centred, newest - lag), mean);
      // Demand cannot be negative, and a fit on few slots may diverge.
      return Math.min(Math.max(0, next), MAX_GROWTH_RATIO * Math.max(...series));
    },
  };
}

/**
 * Returns a predictor of the value that at most the fraction `exceedanceRatio` of the last `window` slots exceeded. A
 * mean does not predict demand with few arrivals per slot. The influence of this predictor depends on the cost of
 * delayed work, through the weights of the ensemble.
 */
export function highQuantile(window: number, exceedanceRatio: number): Predictor {
  return {
    name: `high-${window}`,
    predict(series) {
      const last = series.slice(-window).sort((left, right) => left - right);
      if (last.length === 0) return 0;
      return last[Math.min(last.length - 1, Math.floor(last.length * (1 - exceedanceRatio)))] ?? 0;
    },
  };
}
