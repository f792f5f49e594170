/** A network between simulated processes: links that are cut in one direction, slow, or deliver twice. */
import type { SimulatedClock } from './virtual-clock.js';

/** Takes a request; null: it gives no answer. */
type RequestHandler = (payload: Uint8Array) => Promise<Uint8Array | null>;

/** A process that can be reached. */
interface Endpoint {
  readonly clock: { whenRunning(run: () => void): void };
  readonly handler: RequestHandler;
}

/** What the network does to messages beside cutting links. */
export interface NetworkFaults {
  minDelayMs: number;
  maxDelayMs: number;
  /** The share of requests of which a copy arrives again later. */
  repeatShare: number;
  /** A copy arrives up to so much later. */
  repeatWithinMs: number;
  /** The share of messages that are lost. */
  lossShare: number;
}

const NO_FAULTS: NetworkFaults = {
  minDelayMs: 1,
  maxDelayMs: 4,
  repeatShare: 0,
  repeatWithinMs: 0,
  lossShare: 0,
};

/** Delivers requests and answers between named processes. */
export class SimulatedNetwork {
  readonly faults: NetworkFaults = { ...NO_FAULTS };
  private readonly endpoints = new Map<string, Endpoint>();
  private readonly cuts = new Set<string>();

  constructor(
    private readonly clock: SimulatedClock,
    private readonly random: () => number,
  ) {}

  attach(name: string, endpoint: Endpoint): void {
    this.endpoints.set(name, endpoint);
  }

  detach(name: string): void {
    this.endpoints.delete(name);
  }

  /** Nothing passes from `from` to `to` any more; the other direction stays as it is. */
  cut(from: string, to: string): void {
    this.cuts.add(`${from} ${to}`);
  }

  heal(from: string, to: string): void {
    this.cuts.delete(`${from} ${to}`);
  }

  healAll(): void {
    this.cuts.clear();
    Object.assign(this.faults, NO_FAULTS);
  }

  passes(from: string, to: string): boolean {
    return !this.cuts.has(`${from} ${to}`) && this.random() >= this.faults.lossShare;
  }

  private delayMs(): number {
    const { minDelayMs, maxDelayMs } = this.faults;
    return minDelayMs + (maxDelayMs - minDelayMs) * this.random();
  }

  /** A request of the process that `clock` belongs to. Resolves with null when its deadline has passed. */
  request(
    from: string,
    to: string,
    payload: Uint8Array,
    deadlineMs: number,
    clock: SimulatedClock,
  ): Promise<Uint8Array | null> {
    return new Promise((resolve) => {
      clock.after(deadlineMs, () => resolve(null));
      if (!this.passes(from, to)) return;
      this.deliver(to, payload, (answer) => {
        if (!this.passes(to, from)) return;
        clock.after(this.delayMs(), () => resolve(answer));
      });
      if (this.random() < this.faults.repeatShare) {
        this.clock.after(this.random() * this.faults.repeatWithinMs, () =>
          this.deliver(to, payload, () => {}),
        );
      }
    });
  }

  private deliver(to: string, payload: Uint8Array, answered: (answer: Uint8Array) => void): void {
    this.clock.after(this.delayMs(), () => {
      const endpoint = this.endpoints.get(to);
      endpoint?.clock.whenRunning(() => {
        void endpoint.handler(payload).then((answer) => {
          if (answer !== null) answered(answer);
        });
      });
    });
  }
}
