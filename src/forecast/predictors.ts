/** Predictors of the next value of a series. */

/** Predicts the next value of a series, whose oldest value comes first. Pure. */
export interface Predictor {
  /** Stored with its weight: it never changes. */
  readonly name: string;
  predict(series: readonly number[]): number;
}

const sumOf = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0);

/** The mean of the last `window` slots. */
export function movingAverage(window: number): Predictor {
  return {
    name: `average-${window}`,
    predict(series) {
      const last = series.slice(-window);
      return last.length === 0 ? 0 : sumOf(last) / last.length;
    },
  };
}

/** A smaller pivot counts as zero. */
const MIN_PIVOT = 1e-12;
/** The part of the series' mean power that the fit is damped by. */
const RIDGE_SHARE = 0.1;
/** Keeps a fit on a constant series solvable. */
const MIN_RIDGE = 1e-9;
/** How many times the greatest value of the series a forecast may be. */
const MAX_GROWTH = 2;

const at = (values: readonly number[] | undefined, index: number): number => values?.[index] ?? 0;

/** The row with the greatest value in the column, from this row on. */
function pivotRow(rows: readonly number[][], column: number): number {
  let pivot = column;
  for (let row = column + 1; row < rows.length; row++) {
    if (Math.abs(at(rows[row], column)) > Math.abs(at(rows[pivot], column))) pivot = row;
  }
  return pivot;
}

/** Takes the pivot row out of another one, so that the column is zero there. */
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

/** Solves a system of linear equations by Gaussian elimination; null where it is singular. */
function solve({ matrix, constants }: LinearSystem): number[] | null {
  const rows = matrix.map((row, index) => [...row, at(constants, index)]);
  for (let column = 0; column < constants.length; column++) {
    const pivotIndex = pivotRow(rows, column);
    const pivot = rows[pivotIndex];
    if (!pivot || Math.abs(at(pivot, column)) < MIN_PIVOT) return null;
    rows[pivotIndex] = rows[column] as number[];
    rows[column] = pivot;
    for (const row of rows) if (row !== pivot) eliminate(row, pivot, column);
  }
  return rows.map((row, index) => at(row, constants.length) / (row[index] ?? 1));
}

/** The normal equations of a ridge regression of each value on the `order` values before it. */
function normalEquations(series: readonly number[], order: number): LinearSystem {
  const matrix = Array.from({ length: order }, () => new Array<number>(order).fill(0));
  const constants = new Array<number>(order).fill(0);
  let power = 0;
  for (let time = order; time < series.length; time++) {
    matrix.forEach((row, lag) => {
      const earlier = at(series, time - 1 - lag);
      power += earlier * earlier;
      constants[lag] = at(constants, lag) + earlier * at(series, time);
      for (let otherLag = 0; otherLag < order; otherLag++) {
        row[otherLag] = at(row, otherLag) + earlier * at(series, time - 1 - otherLag);
      }
    });
  }
  const ridge = (RIDGE_SHARE * power) / order + MIN_RIDGE;
  matrix.forEach((row, lag) => {
    row[lag] = at(row, lag) + ridge;
  });
  return { matrix, constants };
}

/**
 * Autoregression over the last `order` slots, fitted by ridge-damped least squares around the mean.
 * While the series is short the order is cut to what it can support, down to the mean itself.
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
      const weights = solve(normalEquations(centred, usableOrder));
      if (!weights) return mean;
      const newest = centred.length - 1;
      const next = weights.reduce((sum, weight, lag) => sum + weight * at(centred, newest - lag), mean);
      // Demand cannot be negative, and a fit on few slots must not run away.
      return Math.min(Math.max(0, next), MAX_GROWTH * Math.max(...series));
    },
  };
}

/**
 * The value that only the given share of the last slots exceeded. Few arrivals a slot are not
 * predicted by any mean; what their delay costs decides, through the weights, how much this counts.
 */
export function highQuantile(window: number, share: number): Predictor {
  return {
    name: `high-${window}`,
    predict(series) {
      const last = series.slice(-window).sort((a, b) => a - b);
      if (last.length === 0) return 0;
      return last[Math.min(last.length - 1, Math.floor(last.length * (1 - share)))] ?? 0;
    },
  };
}
