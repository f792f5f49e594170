import { describe, expect, it } from 'vitest';
import { retryUntilTermEnds } from '../../src/leader/retry.js';
import { VirtualClock } from '../simulation/clock.js';

const RETRY_MS = 200;

/** Retries an operation that fails `failures` times, in a term that ends after `termMs`. */
async function runAttempts(failures: number, termMs: number) {
  const clock = new VirtualClock();
  const failedWith: unknown[] = [];
  let attempts = 0;
  const attempt = (): Promise<string> => {
    attempts++;
    return attempts > failures ? Promise.resolve('done') : Promise.reject(new Error(`attempt ${attempts}`));
  };
  const ctx = { clock, isEnded: () => clock.now() >= termMs };
  const options = { retryDelayMs: RETRY_MS, onFailure: (error: unknown) => failedWith.push(error) };
  const result = retryUntilTermEnds(ctx, options, attempt);
  await clock.advance(2000);
  return { result: await result, attempts, failedWith };
}

describe('retryUntilTermEnds', () => {
  it('returns the first result, and reports each failure before it', async () => {
    const { result, attempts, failedWith } = await runAttempts(2, 10_000);
    expect(result).toBe('done');
    expect(attempts).toBe(3);
    expect(failedWith).toEqual([new Error('attempt 1'), new Error('attempt 2')]);
  });

  it('returns null when the term has ended', async () => {
    const { result, attempts } = await runAttempts(100, 1000);
    expect(result).toBeNull();
    expect(attempts).toBe(1000 / RETRY_MS);
  });
});
