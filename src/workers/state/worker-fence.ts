import {
  type Epoch,
  type FenceGeneration,
  type FencingToken,
  fencingTokenOf,
  MAX_FENCE_GENERATION,
} from '../../model/ids.js';

/** The fencing token of commands to one worker; raising the token makes the worker refuse commands sent earlier. */
export class WorkerFence {
  /** Whether a task assigned to the worker can only be proven gone under a higher token. */
  needsHigherToken = false;
  private generation = 0 as FenceGeneration;

  /** Returns the current token of commands to the worker. */
  token(epoch: Epoch): FencingToken {
    return fencingTokenOf(epoch, this.generation);
  }

  /**
   * Raises the token, so that the worker refuses all earlier commands once the next answer reaches it. Returns false if
   * the token is at its maximum.
   */
  raise(): boolean {
    if (this.generation >= MAX_FENCE_GENERATION) return false;
    this.generation = (this.generation + 1) as FenceGeneration;
    this.needsHigherToken = false;
    return true;
  }
}
