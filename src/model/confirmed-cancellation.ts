import type { JobId } from './ids.js';
import type { Millis } from './time.js';

/** A cancellation that was confirmed to a user, and how long ago the sender of this value learned of it. */
export interface ConfirmedCancellation {
  readonly id: JobId;
  readonly age: Millis;
}
