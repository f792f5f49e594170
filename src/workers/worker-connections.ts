/** HTTP connections to the workers' own addresses, of which a process keeps a bounded number. */
import type { CallVerb } from '../peer/frames.js';
import { HttpTarget, NoSocketError, type HttpReply, SocketCount } from '../net/http-client.js';

interface Target {
  readonly http: HttpTarget;
  inFlight: number;
}

/** A command and a probe may be on their way to one worker at the same time. */
const MAX_SOCKETS_PER_WORKER = 2;

/**
 * Calls workers over kept-alive connections; where a new one would exceed the maximum, the least recently used worker's
 * are closed. Few workers need their second connection: with two reserved for each, half of the calls had to connect anew.
 */
export class WorkerConnections {
  private readonly targets = new Map<string, Target>();
  private readonly openSockets = new SocketCount();

  /** `maxSockets`: to all workers together. */
  constructor(private readonly maxSockets: number) {}

  private acquire(address: string): Target {
    const target = this.targets.get(address) ?? {
      http: new HttpTarget(address, MAX_SOCKETS_PER_WORKER, this.openSockets),
      inFlight: 0,
    };
    while (!target.http.hasFree && this.openSockets.open >= this.maxSockets) this.closeLeastRecentlyUsed();
    // The last in the map is the most recently used.
    this.targets.delete(address);
    this.targets.set(address, target);
    return target;
  }

  /** A call that is under way is never cut off: whether its commands were sent would then be unknown. */
  private closeLeastRecentlyUsed(): void {
    for (const [address, { http, inFlight }] of this.targets) {
      if (inFlight > 0) continue;
      http.close();
      this.targets.delete(address);
      return;
    }
    throw new NoSocketError('no socket is free');
  }

  /** Calls a worker. Throws `NoSocketError` where nothing was sent for want of a socket. */
  async call(verb: CallVerb, address: string, body: unknown, deadlineMs: number): Promise<HttpReply> {
    const target = this.acquire(address);
    target.inFlight++;
    try {
      return await target.http.call(verb === 'show' ? 'GET' : 'POST', `/${verb}`, body, deadlineMs);
    } finally {
      target.inFlight--;
    }
  }
}
