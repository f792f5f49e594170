import type { LeaderContext } from '../core/context.js';
import { sleep } from '../model/time.js';

/** The delay after a failed attempt, and the callback that receives its error. */
export interface RetryOptions {
  readonly retryDelayMs: number;
  readonly onFailure: (error: unknown) => void;
}

/** Retries an operation after any error until it succeeds and returns its result, or null if the term ends first. */
export async function retryUntilTermEnds<T>(
  ctx: Pick<LeaderContext, 'clock' | 'isEnded'>,
  { retryDelayMs, onFailure }: RetryOptions,
  attempt: () => Promise<T>,
): Promise<T | null> {
  while (!ctx.isEnded()) {
    try {
      return await attempt();
    } catch (error) {
      onFailure(error);
      await sleep(ctx.clock, retryDelayMs);
    }
  }
  return null;
}
