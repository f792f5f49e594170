/** When a request to the key-value store, made for a user, is tried again. */
import type { ControllerContext } from '../core/context.js';
import { sleep } from '../model/time.js';
import { isRateLimitedError, StoreOutcomeUnknownError } from '../store/errors.js';

/** How often a request is tried in all. */
export const MAX_ATTEMPTS = 3;

/**
 * Reports whether a failed request should be tried again. A 503 is an outage, or meant for this controller alone:
 * asking again at once does not help.
 */
export function isRetryable(error: unknown): boolean {
  return error instanceof StoreOutcomeUnknownError || isRateLimitedError(error);
}

/** Waits before the next attempt: the delay grows with the attempts made, and has as much jitter as the first one. */
export function backOff(
  { clock, random }: Pick<ControllerContext, 'clock' | 'random'>,
  attempts: number,
  baseMs: number,
): Promise<void> {
  return sleep(clock, baseMs * attempts + random() * baseMs);
}
