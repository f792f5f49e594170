/** A simulated network between processes, with one-way partitions, delays, message loss and duplicates. */
import type { SimulatedClock } from './virtual-clock.js';

/** Handles a request; resolves to null if no response is to be sent. */
type RequestHandler = (payload: Uint8Array) => Promise<Uint8Array | null>;

/** A process that is attached to the network. */
interface Endpoint {
  readonly clock: { whenRunning(run: () => void): void };
  readonly handler: RequestHandler;
}

/** The faults of the network other than cut links. Rates are fractions between 0 and 1. */
export interface NetworkFaults {
  minDelayMs: number;
  maxDelayMs: number;
  /** The fraction of requests, of those not lost, that are delivered a second time later. */
  duplicateRate: number;
  /** The maximum additional delay of a duplicate. */
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

/** Delivers requests and responses between named processes, subject to cut links and faults. */
export class SimulatedNetwork {
  readonly faults: NetworkFaults = { ...DEFAULT_FAULTS };
  private readonly endpoints = new Map<string, Endpoint>();
  private readonly cutLinks = new Set<string>();

  constructor(
    private readonly clock: SimulatedClock,
    private readonly random: () => number,
  ) {}

  /** Attaches a process to the network, so that other processes reach it by `name`. */
  attach(name: string, endpoint: Endpoint): void {
    this.endpoints.set(name, endpoint);
  }

  /** Detaches a process from the network, so that requests to `name` are no longer delivered. */
  detach(name: string): void {
    this.endpoints.delete(name);
  }

  /** Cuts the link from `from` to `to`. The opposite direction is not changed. */
  cut(from: string, to: string): void {
    this.cutLinks.add(`${from} ${to}`);
  }

  /** Restores the link from `from` to `to`. The opposite direction is not changed. */
  heal(from: string, to: string): void {
    this.cutLinks.delete(`${from} ${to}`);
  }

  /** Restores all links and resets the faults to their defaults: delays of 1 to 4 ms, no loss and no duplicates. */
  healAll(): void {
    this.cutLinks.clear();
    Object.assign(this.faults, DEFAULT_FAULTS);
  }

  /** Returns whether a message passes now. Draws a random number for message loss if the link is not cut. */
  canPass(from: string, to: string): boolean {
    return !this.cutLinks.has(`${from} ${to}`) && this.random() >= this.faults.lossRate;
  }

  private drawDelayMs(): number {
    const { minDelayMs, maxDelayMs } = this.faults;
    return minDelayMs + (maxDelayMs - minDelayMs) * this.random();
  }

  /**
   * Sends a request from the process that owns `clock`. Resolves to null if no response arrives within `deadlineMs`.
   */
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
        clock.after(this.drawDelayMs(), () => resolve(answer));
      });
      if (this.random() < this.faults.duplicateRate) {
        this.clock.after(this.random() * this.faults.maxDuplicateDelayMs, () =>
          this.deliver(to, payload, () => {}),
        );
      }
    });
  }

  private deliver(to: string, payload: Uint8Array, onAnswer: (answer: Uint8Array) => void): void {
    this.clock.after(this.drawDelayMs(), () => {
      const endpoint = this.endpoints.get(to);
      endpoint?.clock.whenRunning(() => {
        void endpoint.handler(payload).then((answer) => {
          if (answer !== null) onAnswer(answer);
        });
      });
    });
  }
}
