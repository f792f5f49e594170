/** The resource's side of fencing: effects of replaced owners are refused. */
import { type FencingEpoch, NO_EPOCH, type UnitId } from '../ownership.js';

/** Remembers the highest epoch of each unit, and admits no effect under a lower one. */
export class EpochFence {
  private readonly highest = new Map<UnitId, FencingEpoch>();

  /** Returns false if a later owner has already acted: the effect must not happen. */
  admit(unit: UnitId, epoch: FencingEpoch): boolean {
    if (epoch < this.highestOf(unit)) return false;
    this.highest.set(unit, epoch);
    return true;
  }

  /** Returns the highest epoch that was admitted for a unit. */
  highestOf(unit: UnitId): FencingEpoch {
    return this.highest.get(unit) ?? NO_EPOCH;
  }
}
