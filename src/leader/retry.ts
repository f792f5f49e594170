import type { LeaderContext } from '../core/context.js';
import { sleep } from '../model/time.js';

/** How a failed attempt is reported and when the next one follows. */
export interface RetryOptions {
  readonly retryMs: number;
  readonly onFailure: (error: unknown) => void;
}

/**
 * Repeats an attempt until it succeeds, whatever error it throws, and returns its result; null: the term ended first.
 */
export async function retryUntilTermEnds<T>(
  ctx: Pick<LeaderContext, 'clock' | 'isEnded'>,
  { retryMs, onFailure }: RetryOptions,
  attempt: () => Promise<T>,
): Promise<T | null> {
  while (!ctx.isEnded()) {
    try {
      return await attempt();
    } catch (error) {
      onFailure(error);
      await sleep(ctx.clock, retryMs);
    }
  }
  return null;
}
