import type { JobId } from './ids.js';
import type { Millis } from './time.js';

/** A job cancellation that a controller has confirmed to a user. */
export interface ConfirmedCancellation {
  readonly id: JobId;
  /** Time since the reporting controller learned of the cancellation. */
  readonly age: Millis;
}
