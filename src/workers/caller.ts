import type { CallVerb } from '../peer/frames.js';
import { HttpTarget, type Reply } from '../net/http-client.js';

const MOST_TARGETS = 300;

/** Calls to the workers' own addresses over kept connections. */
export class WorkerTargets {
  private readonly targets = new Map<string, HttpTarget>();

  private target(address: string): HttpTarget {
    let target = this.targets.get(address);
    if (!target) {
      target = new HttpTarget(address, 2);
      this.targets.set(address, target);
      if (this.targets.size > MOST_TARGETS) this.drop(this.targets.keys().next().value as string);
    }
    return target;
  }

  private drop(address: string): void {
    this.targets.get(address)?.close();
    this.targets.delete(address);
  }

  raw(verb: CallVerb, address: string, body: unknown, deadlineMs: number): Promise<Reply> {
    return this.target(address).call(verb === 'show' ? 'GET' : 'POST', `/${verb}`, body, deadlineMs);
  }
}
