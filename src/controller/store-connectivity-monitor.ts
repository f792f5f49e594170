/** Judges by the results of its calls whether this controller reaches the key-value store. */
import { type Clock, type MonotonicTime, since } from '../model/time.js';

/** Once calls fail, the store counts as unreachable after this long without an answer. */
const UNREACHABLE_AFTER_MS = 800;
/** Without any peer either, this controller counts as partitioned after this long without an answer. */
const PARTITIONED_AFTER_MS = 2500;

/** Records the results of calls to the store. */
export class StoreConnectivityMonitor {
  private lastAnswerAt: MonotonicTime;
  private failingSince: MonotonicTime | null = null;

  constructor(private readonly clock: Clock) {
    this.lastAnswerAt = clock.now();
  }

  /** A call to the store has ended, with or without an answer. */
  recordCall(answered: boolean): void {
    const now = this.clock.now();
    if (answered) {
      this.lastAnswerAt = now;
      this.failingSince = null;
    } else this.failingSince ??= now;
  }

  /** Whether the store has answered lately, or no call has failed since its last answer. */
  get isStoreReachable(): boolean {
    return this.failingSince === null || since(this.clock.now(), this.lastAnswerAt) < UNREACHABLE_AFTER_MS;
  }

  /**
   * Whether neither the store nor another controller can be reached: users are better served by any other
   * controller. An outage of the store alone is everybody's: then no controller steps back, or the load balancer
   * would have none left when it is over.
   */
  isPartitioned(peers: readonly { readonly isConnected: boolean }[]): boolean {
    if (peers.length === 0 || this.failingSince === null || peers.some(({ isConnected }) => isConnected))
      return false;
    return since(this.clock.now(), this.lastAnswerAt) > PARTITIONED_AFTER_MS;
  }
}
