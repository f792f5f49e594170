/** What a member remembers of one unit between two polls. */
import type { OwnershipReading, UnitId } from './ownership.js';
import { type Stage, WATCHING } from './stage.js';

/** The state of one unit. `Prepared` is what a successor reads ahead for it. Times are monotonic, in milliseconds. */
export interface UnitState<Prepared> {
  readonly unit: UnitId;
  stage: Stage;
  reading: OwnershipReading | null;
  /** When the unit's records were last read or confirmed; -Infinity: they must be read again. */
  readAt: number;
  /** A poll of the unit is under way. */
  isPolling: boolean;
  /** Since when the owner has been failed or gone; null: it is not. */
  vacantSince: number | null;
  preparation: Promise<Prepared | null> | null;
  /** When this process, as the owner, last wrote a heartbeat to the store. */
  lastHeartbeatAt: number;
}

/** Returns the state of a unit of which nothing is known yet. */
export function newUnitState<Prepared>(unit: UnitId): UnitState<Prepared> {
  return {
    unit,
    stage: WATCHING,
    reading: null,
    readAt: -Infinity,
    isPolling: false,
    vacantSince: null,
    preparation: null,
    lastHeartbeatAt: -Infinity,
  };
}
