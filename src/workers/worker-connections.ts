/** A bounded pool of HTTP connections to the workers' own addresses. */
import type { WorkerCallVerb } from '../peer/worker-call.js';
import { HttpConnectionPool, NoSocketError, type HttpReply, SocketCount } from '../net/http-client.js';

interface WorkerTarget {
  readonly http: HttpConnectionPool;
  inFlight: number;
}

/** The maximum number of sockets to one worker, for a command call and a probe at the same time. */
const MAX_SOCKETS_PER_WORKER = 2;

/**
 * Calls workers over keep-alive connections. If a new connection would exceed the maximum, the connections of the least
 * recently used worker without calls in flight are closed.
 *
 * Connections are not reserved per worker, since few workers need a second one: with two reserved for each worker, half
 * of the calls had to open a new connection.
 */
export class WorkerConnections {
  private readonly targets = new Map<string, WorkerTarget>();
  private readonly openSockets = new SocketCount();

  /** `maxSockets` is the maximum number of sockets to all workers together. */
  constructor(private readonly maxSockets: number) {}

  private acquireTarget(address: string): WorkerTarget {
    const target = this.targets.get(address) ?? {
      http: new HttpConnectionPool(address, MAX_SOCKETS_PER_WORKER, this.openSockets),
      inFlight: 0,
    };
    while (!target.http.hasIdleConnection && this.openSockets.open >= this.maxSockets)
      this.closeLeastRecentlyUsed();
    // Reinserting the target keeps the map in order of use, with the most recently used target last.
    this.targets.delete(address);
    this.targets.set(address, target);
    return target;
  }

  /**
   * Closes the connections of the least recently used worker without calls in flight. A call in flight is never
   * aborted, since it would be unknown whether its commands were sent.
   */
  private closeLeastRecentlyUsed(): void {
    for (const [address, { http, inFlight }] of this.targets) {
      if (inFlight > 0) continue;
      http.close();
      this.targets.delete(address);
      return;
    }
    throw new NoSocketError('all sockets for calls to workers are in use by calls in flight');
  }

  /** Calls a worker. Throws `NoSocketError` if nothing was sent because no socket is available. */
  async call(verb: WorkerCallVerb, address: string, body: unknown, deadlineMs: number): Promise<HttpReply> {
    const target = this.acquireTarget(address);
    target.inFlight++;
    try {
      return await target.http.call(verb === 'show' ? 'GET' : 'POST', `/${verb}`, body, deadlineMs);
    } finally {
      target.inFlight--;
    }
  }
}
