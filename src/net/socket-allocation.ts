/** Divides a controller's socket limit among the uses of sockets. */

/**
 * The maximum number of sockets for each use. The sum stays within the platform's limit, unless the limit leaves fewer
 * than `MIN_FRONT_SOCKET_COUNT` sockets for `front`.
 */
export interface SocketAllocation {
  /** Connections of users, worker heartbeats and health checks. */
  readonly front: number;
  /** Connections accepted from other controllers; the outgoing links to peers are counted separately. */
  readonly peers: number;
  /** Connections for requests to the key-value store. */
  readonly store: number;
  /** Connections for watches of the key-value store. */
  readonly storeWatches: number;
  readonly cloud: number;
  /** Connections for direct calls to workers. */
  readonly workers: number;
}

const STORE_SOCKET_COUNT = 24;
const STORE_WATCH_SOCKET_COUNT = 4;
const CLOUD_SOCKET_COUNT = 4;
/** The sockets reserved for each peer: the connections of a restarted peer may overlap with its previous ones. */
const SOCKET_COUNT_PER_PEER = 4;
/** Sockets reserved for listening and for the runtime's own use. */
const RESERVED_SOCKET_COUNT = 8;
const WORKER_SOCKET_RATIO = 0.25;
const MIN_FRONT_SOCKET_COUNT = 16;
const MIN_PEER_SOCKET_COUNT = 8;
const MIN_WORKER_SOCKET_COUNT = 8;

/** Divides the platform's socket limit among the uses of sockets. */
export function allocateSockets(maxSockets: number, peerCount: number): SocketAllocation {
  const peers = Math.max(MIN_PEER_SOCKET_COUNT, peerCount * SOCKET_COUNT_PER_PEER);
  const workers = Math.max(MIN_WORKER_SOCKET_COUNT, Math.floor(maxSockets * WORKER_SOCKET_RATIO));
  // Adds this controller's outgoing links, one for each peer, to the sockets for incoming peer connections.
  const nonFrontSockets =
    peers + peerCount + workers + STORE_SOCKET_COUNT + STORE_WATCH_SOCKET_COUNT + CLOUD_SOCKET_COUNT;
  return {
    front: Math.max(MIN_FRONT_SOCKET_COUNT, maxSockets - nonFrontSockets - RESERVED_SOCKET_COUNT),
    peers,
    store: STORE_SOCKET_COUNT,
    storeWatches: STORE_WATCH_SOCKET_COUNT,
    cloud: CLOUD_SOCKET_COUNT,
    workers,
  };
}
