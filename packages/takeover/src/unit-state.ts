/** The state that a member keeps for each unit between polls. */
import type { OwnershipReading, UnitId } from './ownership.js';
import { type Stage, WATCHING } from './stage.js';

/**
 * A member's state of one unit. `Prepared` is the data that a successor prefetches for the unit. Times are monotonic.
 */
export interface UnitState<Prepared> {
  readonly unit: UnitId;
  stage: Stage;
  reading: OwnershipReading | null;
  /**
   * When the unit's records were last read, the unit was claimed, or an attempt to confirm its ownership ended;
   * -Infinity: the next poll must read or confirm again.
   */
  readAtMs: number;
  /** Whether a poll of the unit is in progress. */
  isPolling: boolean;
  /**
   * When this member first saw the unit's owner as failed or gone; null: the owner is present, only suspected or this
   * process, or the unit was not read yet.
   */
  vacantSinceMs: number | null;
  preparation: Promise<Prepared | null> | null;
  /** When this process, as the owner, last wrote a heartbeat to the store. */
  lastHeartbeatAtMs: number;
}

/** Returns the initial state of a unit whose records have not been read yet. */
export function createUnitState<Prepared>(unit: UnitId): UnitState<Prepared> {
  return {
    unit,
    stage: WATCHING,
    reading: null,
    readAtMs: -Infinity,
    isPolling: false,
    vacantSinceMs: null,
    preparation: null,
    lastHeartbeatAtMs: -Infinity,
  };
}
