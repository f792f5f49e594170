/** The retry policy for requests to the key-value store on behalf of users. */
import type { ControllerContext } from '../core/context.js';
import { sleep } from '../model/time.js';
import { isRateLimitedError, StoreOutcomeUnknownError } from '../store/errors.js';

/**
 * The maximum number of attempts of a store request, the first one included. The write of a cancellation is attempted
 * once more after retryable errors.
 */
export const MAX_ATTEMPT_COUNT = 3;

/**
 * Reports whether a failed store request should be retried: its outcome is unknown, or it was rate limited. A 503
 * response means an outage of the store, or that the store refuses this controller alone: an immediate retry does not
 * help, so a 503 is not retryable.
 */
export function isRetryable(error: unknown): boolean {
  return error instanceof StoreOutcomeUnknownError || isRateLimitedError(error);
}

/** Waits before the next attempt: `baseMs` for each attempt made so far, plus a random jitter of up to `baseMs`. */
export function backOff(
  { clock, random }: Pick<ControllerContext, 'clock' | 'random'>,
  attempts: number,
  baseMs: number,
): Promise<void> {
  return sleep(clock, baseMs * attempts + random() * baseMs);
}
