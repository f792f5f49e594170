/** Divides a controller's sockets among their uses. */

/** How many sockets each use may hold; together they never exceed what the platform allows. */
export interface SocketShares {
  /** Users, workers' heartbeats and health checks. */
  readonly front: number;
  /** Other controllers, each way. */
  readonly peers: number;
  /** Requests to the key-value store. */
  readonly store: number;
  /** Watches of the key-value store. */
  readonly storeWatches: number;
  readonly cloud: number;
  /** Direct calls to workers. */
  readonly workers: number;
}

const STORE_SOCKETS = 24;
const STORE_WATCH_SOCKETS = 4;
const CLOUD_SOCKETS = 4;
/** Connections of a peer that has come back may overlap with its old ones. */
const SOCKETS_PER_PEER = 4;
/** Listening sockets and what the runtime itself holds open. */
const RESERVED_SOCKETS = 8;
const WORKER_SHARE = 0.25;
const MIN_FRONT_SOCKETS = 16;
const MIN_PEER_SOCKETS = 8;
const MIN_WORKER_SOCKETS = 8;

/** Divides the platform's sockets among what needs them. */
export function shareSockets(maxSockets: number, peerCount: number): SocketShares {
  const peers = Math.max(MIN_PEER_SOCKETS, peerCount * SOCKETS_PER_PEER);
  const workers = Math.max(MIN_WORKER_SOCKETS, Math.floor(maxSockets * WORKER_SHARE));
  // Our own links to the peers count besides those that they open to us.
  const others = peers + peerCount + workers + STORE_SOCKETS + STORE_WATCH_SOCKETS + CLOUD_SOCKETS;
  return {
    front: Math.max(MIN_FRONT_SOCKETS, maxSockets - others - RESERVED_SOCKETS),
    peers,
    store: STORE_SOCKETS,
    storeWatches: STORE_WATCH_SOCKETS,
    cloud: CLOUD_SOCKETS,
    workers,
  };
}
