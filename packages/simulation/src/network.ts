/** A network between simulated processes, with one-way partitions, delays, losses and duplicates. */
import type { SimulatedClock } from './virtual-clock.js';

/** Handles a request; resolves to null for no answer. */
type RequestHandler = (payload: Uint8Array) => Promise<Uint8Array | null>;

/** A reachable process. */
interface Endpoint {
  readonly clock: { whenRunning(run: () => void): void };
  readonly handler: RequestHandler;
}

/** Faults of the network other than cut links. */
export interface NetworkFaults {
  minDelayMs: number;
  maxDelayMs: number;
  /** The fraction of requests of which a duplicate arrives later. */
  duplicateRate: number;
  /** The maximum delay of a duplicate. */
  maxDuplicateDelayMs: number;
  /** The fraction of messages that are lost. */
  lossRate: number;
}

const DEFAULT_FAULTS: NetworkFaults = {
  minDelayMs: 1,
  maxDelayMs: 4,
  duplicateRate: 0,
  maxDuplicateDelayMs: 0,
  lossRate: 0,
};

/** Delivers requests and answers between named processes. */
export class SimulatedNetwork {
  readonly faults: NetworkFaults = { ...DEFAULT_FAULTS };
  private readonly endpoints = new Map<string, Endpoint>();
  private readonly cuts = new Set<string>();

  constructor(
    private readonly clock: SimulatedClock,
    private readonly random: () => number,
  ) {}

  /** Makes a process reachable. */
  attach(name: string, endpoint: Endpoint): void {
    this.endpoints.set(name, endpoint);
  }

  /** Makes a process unreachable. */
  detach(name: string): void {
    this.endpoints.delete(name);
  }

  /** Cuts the link from `from` to `to`; the other direction is not changed. */
  cut(from: string, to: string): void {
    this.cuts.add(`${from} ${to}`);
  }

  /** Restores a link in one direction. */
  heal(from: string, to: string): void {
    this.cuts.delete(`${from} ${to}`);
  }

  /** Restores all links and ends all faults. */
  healAll(): void {
    this.cuts.clear();
    Object.assign(this.faults, DEFAULT_FAULTS);
  }

  /** Returns whether a message passes now. Draws a random number if the link is not cut. */
  canPass(from: string, to: string): boolean {
    return !this.cuts.has(`${from} ${to}`) && this.random() >= this.faults.lossRate;
  }

  private delayMs(): number {
    const { minDelayMs, maxDelayMs } = this.faults;
    return minDelayMs + (maxDelayMs - minDelayMs) * this.random();
  }

  /** Sends a request of the process that `clock` belongs to. Resolves to null once its deadline has passed. */
  request(
    from: string,
    to: string,
    payload: Uint8Array,
    deadlineMs: number,
    clock: SimulatedClock,
  ): Promise<Uint8Array | null> {
    return new Promise((resolve) => {
      clock.after(deadlineMs, () => resolve(null));
      if (!this.canPass(from, to)) return;
      this.deliver(to, payload, (answer) => {
        if (!this.canPass(to, from)) return;
        clock.after(this.delayMs(), () => resolve(answer));
      });
      if (this.random() < this.faults.duplicateRate) {
        this.clock.after(this.random() * this.faults.maxDuplicateDelayMs, () =>
          this.deliver(to, payload, () => {}),
        );
      }
    });
  }

  private deliver(to: string, payload: Uint8Array, onAnswer: (answer: Uint8Array) => void): void {
    this.clock.after(this.delayMs(), () => {
      const endpoint = this.endpoints.get(to);
      endpoint?.clock.whenRunning(() => {
        void endpoint.handler(payload).then((answer) => {
          if (answer !== null) onAnswer(answer);
        });
      });
    });
  }
}
