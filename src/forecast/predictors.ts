/** Predictors of the next value of a series, oldest first. Pure. */
export interface Predictor {
  readonly name: string;
  predict(series: readonly number[]): number;
}

export function movingAverage(window: number): Predictor {
  return {
    name: `average-${window}`,
    predict(series) {
      const last = series.slice(-window);
      return last.length === 0 ? 0 : last.reduce((a, b) => a + b, 0) / last.length;
    },
  };
}

/** Solves the symmetric system a·x = b by Gaussian elimination; null where it is singular. */
function solve(a: number[][], b: number[]): number[] | null {
  const n = b.length;
  const m = a.map((row, i) => [...row, b[i] ?? 0]);
  for (let col = 0; col < n; col++) {
    let pivot = col;
    for (let r = col + 1; r < n; r++) {
      if (Math.abs(m[r]?.[col] ?? 0) > Math.abs(m[pivot]?.[col] ?? 0)) pivot = r;
    }
    const top = m[pivot];
    if (!top || Math.abs(top[col] ?? 0) < 1e-12) return null;
    m[pivot] = m[col] as number[];
    m[col] = top;
    for (let r = 0; r < n; r++) {
      const row = m[r] as number[];
      if (r === col) continue;
      const f = (row[col] ?? 0) / (top[col] ?? 1);
      for (let c = col; c <= n; c++) row[c] = (row[c] ?? 0) - f * (top[c] ?? 0);
    }
  }
  return m.map((row, i) => (row[n] ?? 0) / (row[i] ?? 1));
}

/**
 * Autoregression over the last `order` slots, fitted by ridge-damped least squares around the mean.
 * While the series is short the order is cut to what it can carry, down to the mean itself.
 */
export function autoregression(order: number): Predictor {
  return {
    name: `regression-${order}`,
    predict(series) {
      const n = series.length;
      if (n === 0) return 0;
      const mean = series.reduce((a, b) => a + b, 0) / n;
      const p = Math.min(order, Math.floor((n - 1) / 2));
      if (p === 0) return mean;
      const x = series.map((v) => v - mean);
      const a = Array.from({ length: p }, () => new Array<number>(p).fill(0));
      const b = new Array<number>(p).fill(0);
      let power = 0;
      for (let t = p; t < n; t++) {
        for (let i = 0; i < p; i++) {
          const xi = x[t - 1 - i] ?? 0;
          power += xi * xi;
          b[i] = (b[i] ?? 0) + xi * (x[t] ?? 0);
          for (let j = 0; j < p; j++) {
            const row = a[i] as number[];
            row[j] = (row[j] ?? 0) + xi * (x[t - 1 - j] ?? 0);
          }
        }
      }
      const ridge = (0.1 * power) / p + 1e-9;
      for (let i = 0; i < p; i++) (a[i] as number[])[i] = ((a[i] as number[])[i] ?? 0) + ridge;
      const phi = solve(a, b);
      if (!phi) return mean;
      let next = mean;
      for (let i = 0; i < p; i++) next += (phi[i] ?? 0) * (x[n - 1 - i] ?? 0);
      // Need cannot be negative, and a fit on few slots must not run away.
      return Math.min(Math.max(0, next), 2 * Math.max(...series));
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
