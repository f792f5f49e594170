import { type Clock, type MonotonicTime, since } from '../model/time.js';

/** The state service counts as failing for this node after this long without an answer. */
const STATE_LOST_MS = 800;
const CUT_OFF_MS = 2500;

/** Whether this node reaches the state service, as far as its last calls tell. */
export class StoreConnectivityMonitor {
  private okAt: MonotonicTime;
  private failedAt: MonotonicTime | null = null;

  constructor(private readonly clock: Clock) {
    this.okAt = clock.now();
  }

  recordCall(answered: boolean): void {
    const now = this.clock.now();
    if (answered) {
      this.okAt = now;
      this.failedAt = null;
    } else this.failedAt ??= now;
  }

  get isStoreReachable(): boolean {
    return this.failedAt === null || since(this.clock.now(), this.okAt) < STATE_LOST_MS;
  }

  /**
   * Neither the state service nor another controller can be reached: users are better served by any
   * other node. An outage of the state service alone is everybody's: then no node steps back, or the
   * load balancer would have none left when it is over.
   */
  isPartitioned(peers: readonly { readonly isConnected: boolean }[]): boolean {
    if (peers.length === 0 || this.failedAt === null || peers.some((p) => p.isConnected)) return false;
    return since(this.clock.now(), this.okAt) > CUT_OFF_MS;
  }
}
