/** Answers to user requests. */
import type { JobId } from '../model/ids.js';

/**
 * The answer to a user request. Controllers send answers to each other as JSON: the field names are part of the
 * protocol.
 */
export interface UserAnswer {
  readonly status: number;
  readonly body: object;
  /** The seconds after which the user should retry (the `retry-after` header). */
  readonly retryAfter?: number;
}

/** Returns a 503 answer; `retryAfter` is in seconds. */
export const unavailable = (error: string, retryAfter = 1): UserAnswer => ({
  status: 503,
  body: { error },
  retryAfter,
});

/** Returns a 422 answer, for a job that can never run. */
export const unprocessable = (error: string): UserAnswer => ({ status: 422, body: { error } });

/** The answer for a job that was never accepted. */
export const NO_SUCH_JOB: UserAnswer = { status: 404, body: { error: 'no such job' } };

/** Returns a 200 answer with the state of a job. */
export const stateAnswer = (id: JobId, status: string): UserAnswer => ({
  status: 200,
  body: { ref: id, status },
});

/**
 * Thrown when this controller has used up its share of the write budget for users; another controller may still accept
 * the request.
 */
export class BusyError extends Error {
  override readonly name = 'BusyError';
  readonly code = 'BUSY';
}
