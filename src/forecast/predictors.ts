/** Predictors of the next value of a series, oldest first. Pure. */
export interface Predictor {
  readonly name: string;
  predict(series: readonly number[]): number;
}

/** The mean of the last `window` slots. */
export function movingAverage(window: number): Predictor {
  return {
    name: `average-${window}`,
    predict(series) {
      const last = series.slice(-window);
      return last.length === 0 ? 0 : last.reduce((a, b) => a + b, 0) / last.length;
    },
  };
}

/** A smaller pivot counts as zero. */
const SINGULAR = 1e-12;
/** The part of the series' mean power that the fit is damped by. */
const RIDGE = 0.1;
/** Keeps a fit on a constant series solvable. */
const LEAST_RIDGE = 1e-9;
/** A forecast goes no further beyond the greatest value seen. */
const MOST_GROWTH = 2;

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
  for (let c = column; c < row.length; c++) row[c] = at(row, c) - factor * at(pivot, c);
}

/** Solves the symmetric system a·x = b by Gaussian elimination; null where it is singular. */
function solve(a: readonly number[][], b: readonly number[]): number[] | null {
  const rows = a.map((row, i) => [...row, at(b, i)]);
  for (let column = 0; column < b.length; column++) {
    const chosen = pivotRow(rows, column);
    const pivot = rows[chosen];
    if (!pivot || Math.abs(at(pivot, column)) < SINGULAR) return null;
    rows[chosen] = rows[column] as number[];
    rows[column] = pivot;
    for (const row of rows) if (row !== pivot) eliminate(row, pivot, column);
  }
  return rows.map((row, i) => at(row, b.length) / (row[i] ?? 1));
}

/** The normal equations of a fit of each value by the `order` values before it. */
interface NormalEquations {
  readonly a: number[][];
  readonly b: number[];
}

function normalEquations(x: readonly number[], order: number): NormalEquations {
  const a = Array.from({ length: order }, () => new Array<number>(order).fill(0));
  const b = new Array<number>(order).fill(0);
  let power = 0;
  for (let t = order; t < x.length; t++) {
    a.forEach((row, i) => {
      const before = at(x, t - 1 - i);
      power += before * before;
      b[i] = at(b, i) + before * at(x, t);
      for (let j = 0; j < order; j++) row[j] = at(row, j) + before * at(x, t - 1 - j);
    });
  }
  const ridge = (RIDGE * power) / order + LEAST_RIDGE;
  a.forEach((row, i) => {
    row[i] = at(row, i) + ridge;
  });
  return { a, b };
}

/**
 * Autoregression over the last `order` slots, fitted by ridge-damped least squares around the mean.
 * While the series is short the order is cut to what it can carry, down to the mean itself.
 */
export function autoregression(order: number): Predictor {
  return {
    name: `regression-${order}`,
    predict(series) {
      if (series.length === 0) return 0;
      const mean = series.reduce((sum, value) => sum + value, 0) / series.length;
      const carried = Math.min(order, Math.floor((series.length - 1) / 2));
      if (carried === 0) return mean;
      const x = series.map((value) => value - mean);
      const { a, b } = normalEquations(x, carried);
      const weights = solve(a, b);
      if (!weights) return mean;
      const next = weights.reduce((sum, weight, i) => sum + weight * at(x, x.length - 1 - i), mean);
      // Need cannot be negative, and a fit on few slots must not run away.
      return Math.min(Math.max(0, next), MOST_GROWTH * Math.max(...series));
    },
  };
}

/**
 * The value that only the given share of the last slots exceeded. Few arrivals a slot are not
 * foretold by any mean; what their delay costs decides, through the weights, how much this counts.
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
