/** The resource's side of fencing: refuses effects of owners that were replaced. */
import { type FencingEpoch, NO_EPOCH, type UnitId } from '../ownership.js';

/** Records the highest epoch of each unit, and refuses effects under a lower epoch. */
export class EpochFence {
  private readonly highestEpochs = new Map<UnitId, FencingEpoch>();

  /** Returns whether the effect may be applied; false: an owner with a later epoch has already acted on the unit. */
  admit(unit: UnitId, epoch: FencingEpoch): boolean {
    if (epoch < this.highestEpoch(unit)) return false;
    this.highestEpochs.set(unit, epoch);
    return true;
  }

  /** Returns the highest epoch that was admitted for a unit; `NO_EPOCH` if no effect was admitted. */
  highestEpoch(unit: UnitId): FencingEpoch {
    return this.highestEpochs.get(unit) ?? NO_EPOCH;
  }
}
