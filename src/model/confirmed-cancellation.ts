import type { JobId } from './ids.js';
import type { Millis } from './time.js';

/** A cancellation that was confirmed to a user. */
export interface ConfirmedCancellation {
  readonly id: JobId;
  /** How long ago the controller that reports it learned of it. */
  readonly age: Millis;
}
