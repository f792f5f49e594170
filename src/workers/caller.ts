import type { CallVerb } from '../peer/frames.js';
import { HttpTarget, NoSocket, type Reply } from '../net/http-client.js';

interface Target {
  readonly http: HttpTarget;
  inFlight: number;
}

/** A command and a look may be on their way to one worker at the same time. */
const SOCKETS_EACH = 2;

/** Calls to the workers' own addresses over kept connections, the least recently used dropped first. */
export class WorkerTargets {
  private readonly targets = new Map<string, Target>();
  private readonly most: number;

  constructor(sockets: number) {
    this.most = Math.max(1, Math.floor(sockets / SOCKETS_EACH));
  }

  private target(address: string): Target {
    let target = this.targets.get(address);
    if (target) this.targets.delete(address);
    else {
      if (this.targets.size >= this.most) this.dropIdle();
      target = { http: new HttpTarget(address, SOCKETS_EACH), inFlight: 0 };
    }
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
    throw new NoSocket('no socket is free');
  }

  async raw(verb: CallVerb, address: string, body: unknown, deadlineMs: number): Promise<Reply> {
    const target = this.target(address);
    target.inFlight++;
    try {
      return await target.http.call(verb === 'show' ? 'GET' : 'POST', `/${verb}`, body, deadlineMs);
    } finally {
      target.inFlight--;
    }
  }
}
