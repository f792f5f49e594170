/** Calls to the workers' own addresses. */
import type { CallVerb } from '../peer/worker-call.js';
import { HttpTarget, NoSocketError, type HttpReply, SocketCount } from '../net/http-client.js';

interface Target {
  readonly http: HttpTarget;
  inFlight: number;
}

/** A command and a look may be on their way to one worker at the same time. */
const SOCKETS_EACH = 2;

/**
 * Calls over kept connections; where a new one would be one too many, the least recently used worker's are closed.
 * Few workers need their second connection: reckoned with two each, half of the calls had to connect anew.
 */
export class WorkerConnections {
  private readonly targets = new Map<string, Target>();
  private readonly count = new SocketCount();

  constructor(private readonly sockets: number) {}

  private target(address: string): Target {
    const target = this.targets.get(address) ?? {
      http: new HttpTarget(address, SOCKETS_EACH, this.count),
      inFlight: 0,
    };
    while (!target.http.hasIdleConnection && this.count.open >= this.sockets) this.dropIdle();
    // The last in the map is the most recently used.
    this.targets.delete(address);
    this.targets.set(address, target);
    return target;
  }

  /** A call that is under way is never cut off: its orders would then be neither sent nor unsent. */
  private dropIdle(): void {
    for (const [address, { http, inFlight }] of this.targets) {
      if (inFlight > 0) continue;
      http.close();
      this.targets.delete(address);
      return;
    }
    throw new NoSocketError('no socket is free');
  }

  /** Throws `NoSocket` where nothing was sent for want of a socket. */
  async call(verb: CallVerb, address: string, body: unknown, deadlineMs: number): Promise<HttpReply> {
    const target = this.target(address);
    target.inFlight++;
    try {
      return await target.http.call(verb === 'show' ? 'GET' : 'POST', `/${verb}`, body, deadlineMs);
    } finally {
      target.inFlight--;
    }
  }
}
