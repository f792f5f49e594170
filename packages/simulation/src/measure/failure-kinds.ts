/** The kinds of failures that are measured, and how each is injected. */
import type { LoopbackCluster } from '../loopback/loopback-cluster.js';

/** A kind of failure of an owner. */
export interface FailureKind {
  readonly name: string;
  readonly inject: (cluster: LoopbackCluster, owner: string) => void;
}

/** All kinds. Each leads to a takeover, by a verdict or by the expiry of the lease. */
export const FAILURE_KINDS: readonly FailureKind[] = [
  { name: 'killed', inject: (cluster, owner) => cluster.kill(owner) },
  { name: 'stopped', inject: (cluster, owner) => cluster.pause(owner) },
  {
    name: 'cut off',
    inject: (cluster, owner) => {
      cluster.cutOutbound(owner);
      cluster.cutInbound(owner);
      cluster.store.refusedClients.add(owner);
    },
  },
  {
    name: 'heard by none',
    inject: (cluster, owner) => {
      cluster.cutOutbound(owner);
      cluster.store.refusedClients.add(owner);
    },
  },
];
