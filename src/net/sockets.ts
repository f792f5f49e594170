/** How a node's sockets are shared out; together they never exceed what the platform allows. */
export interface SocketShares {
  /** Users, workers' reports and health checks. */
  readonly front: number;
  /** Other controllers, each way. */
  readonly peers: number;
  readonly state: number;
  readonly watches: number;
  readonly cloud: number;
  /** Direct calls to workers. */
  readonly workers: number;
}

const STATE = 24;
const WATCHES = 4;
const CLOUD = 4;
/** Connections of a peer that has come back may overlap with its old ones. */
const PER_PEER = 4;
/** Listening sockets and what the runtime itself holds open. */
const OWN = 8;
const WORKERS_SHARE = 0.25;

/** Divides the platform's sockets among what needs them. */
export function shareSockets(sockets: number, peers: number): SocketShares {
  const peerSockets = Math.max(8, peers * PER_PEER);
  const workers = Math.max(8, Math.floor(sockets * WORKERS_SHARE));
  // Our own links to the peers count besides those that they open to us.
  const front = sockets - workers - peerSockets - peers - STATE - WATCHES - CLOUD - OWN;
  return {
    front: Math.max(16, front),
    peers: peerSockets,
    state: STATE,
    watches: WATCHES,
    cloud: CLOUD,
    workers,
  };
}
