/** Determines from the results of calls whether this controller reaches the key-value store. */
import { type Clock, type MonotonicTime, since } from '../model/time.js';

/** While calls fail, the store counts as unreachable when its last response is older than this. */
const UNREACHABLE_AFTER_MS = 800;
/**
 * While calls to the store fail and no peer is connected, this controller counts as partitioned when the store's last
 * response is older than this.
 */
const PARTITIONED_AFTER_MS = 2500;

/** Tracks whether the store is reachable from this controller, by the recorded results of calls. */
export class StoreConnectivityMonitor {
  private lastAnswerAt: MonotonicTime;
  private failingSince: MonotonicTime | null = null;

  constructor(private readonly clock: Clock) {
    this.lastAnswerAt = clock.now();
  }

  /** Records the end of a call to the store, with or without a response. */
  recordCall(isAnswered: boolean): void {
    const now = this.clock.now();
    if (isAnswered) {
      this.lastAnswerAt = now;
      this.failingSince = null;
    } else this.failingSince ??= now;
  }

  /**
   * Whether the store has responded within the last `UNREACHABLE_AFTER_MS`, or no call has failed since its last
   * response.
   */
  get isStoreReachable(): boolean {
    return this.failingSince === null || since(this.clock.now(), this.lastAnswerAt) < UNREACHABLE_AFTER_MS;
  }

  /**
   * Returns whether calls to the store fail, the store's last response is older than `PARTITIONED_AFTER_MS`, and no
   * other controller is connected, in which case any other controller serves users better; false if `peers` is empty.
   * An outage of the store alone affects all controllers; none of them reports itself unavailable then, since the load
   * balancer would have no controller left when the outage ends.
   */
  isPartitioned(peers: readonly { readonly isConnected: boolean }[]): boolean {
    if (peers.length === 0 || this.failingSince === null || peers.some(({ isConnected }) => isConnected))
      return false;
    return since(this.clock.now(), this.lastAnswerAt) > PARTITIONED_AFTER_MS;
  }
}
