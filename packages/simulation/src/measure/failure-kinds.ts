/** The kinds of owner failures whose takeovers are measured. */
import type { LoopbackCluster } from '../loopback/loopback-cluster.js';

/** A kind of owner failure. `inject` applies the failure to the given owner. */
export interface FailureKind {
  readonly name: string;
  readonly inject: (cluster: LoopbackCluster, owner: string) => void;
}

/**
 * All measured kinds of failure. Each leads to a takeover: after a failure verdict or, if the cluster runs in
 * lease-only mode, after the owner's lease has expired.
 */
export const FAILURE_KINDS: readonly FailureKind[] = [
  { name: 'killed', inject: (cluster, owner) => cluster.kill(owner) },
  { name: 'stopped', inject: (cluster, owner) => cluster.pause(owner) },
  {
    name: 'full partition',
    inject: (cluster, owner) => {
      cluster.cutOutbound(owner);
      cluster.cutInbound(owner);
      cluster.store.refusedClients.add(owner);
    },
  },
  {
    name: 'outbound partition',
    inject: (cluster, owner) => {
      cluster.cutOutbound(owner);
      cluster.store.refusedClients.add(owner);
    },
  },
];
