import {
  type Epoch,
  type FenceGeneration,
  type FencingToken,
  fencingTokenOf,
  MAX_FENCE_GENERATION,
} from '../../model/ids.js';

/** The fencing token of commands to one worker: raising it makes the worker refuse commands that left before. */
export class WorkerFence {
  /** Whether something that is counted as being there can only be proven gone under a higher token. */
  needsHigherToken = false;
  private generation = 0 as FenceGeneration;

  /** The token that commands carry now. */
  token(epoch: Epoch): FencingToken {
    return fencingTokenOf(epoch, this.generation);
  }

  /** From the next answer on the worker refuses every command that left before. False: the token is at its maximum. */
  raise(): boolean {
    if (this.generation >= MAX_FENCE_GENERATION) return false;
    this.generation = (this.generation + 1) as FenceGeneration;
    this.needsHigherToken = false;
    return true;
  }
}
