/** Answers to users' requests. */
import type { JobId } from '../model/ids.js';

/** The answer to a user's request. Sent between controllers as JSON: its field names are part of that form. */
export interface UserAnswer {
  readonly status: number;
  readonly body: object;
  /** Seconds after which it is worth asking again. */
  readonly retryAfter?: number;
}

/** A 503 that says when to ask again. */
export const unavailable = (error: string, retryAfter = 1): UserAnswer => ({
  status: 503,
  body: { error },
  retryAfter,
});

/** A 422: the job can never run. */
export const unprocessable = (error: string): UserAnswer => ({ status: 422, body: { error } });

/** The answer for a job that was never accepted. */
export const NO_SUCH_JOB: UserAnswer = { status: 404, body: { error: 'no such job' } };

/** The answer that names the state of a job. */
export const stateAnswer = (id: JobId, status: string): UserAnswer => ({
  status: 200,
  body: { ref: id, status },
});

/** This controller has used up its share of the store's limits; another one may have some left. */
export class BusyError extends Error {
  override readonly name = 'BusyError';
  readonly code = 'BUSY';
}
