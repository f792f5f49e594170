/** The guard of a resource that owners act upon: effects of replaced owners are refused. */
import { type FencingEpoch, NO_EPOCH, type UnitId } from './ownership.js';

/** Remembers the highest epoch of each unit that it has seen. */
export class EpochFence {
  private readonly highest = new Map<UnitId, FencingEpoch>();

  /** False: a later owner has shown itself already, and the effect must not happen. */
  admit(unit: UnitId, epoch: FencingEpoch): boolean {
    if (epoch < this.highestOf(unit)) return false;
    this.highest.set(unit, epoch);
    return true;
  }

  highestOf(unit: UnitId): FencingEpoch {
    return this.highest.get(unit) ?? NO_EPOCH;
  }
}
