/** Load shedding: bounds the users' requests that are worked on at once. */
import { type Clock, type MonotonicTime, since } from '../model/time.js';

const SAMPLE_INTERVAL_MS = 100;
/** The share of the last lateness that stays at each sample. */
const LATENESS_DECAY = 0.8;
/** An event loop that runs this late is overloaded: heartbeats and decisions go before submissions. */
const MAX_LATENESS_MS = 1500;

/** The class of a request: submissions give way to queries when the controller is busy. */
export type RequestClass = 'submission' | 'query';

/** Admits requests up to a number per class. What exceeds it is answered at once, never queued. */
export class Admission {
  private readonly active: Record<RequestClass, number> = { submission: 0, query: 0 };
  private latenessMs = 0;
  private expectedAt: MonotonicTime;

  constructor(
    private readonly clock: Clock,
    private readonly maxActive: Readonly<Record<RequestClass, number>>,
    /** Whether the process has no memory left for new work. */
    private readonly isMemoryScarce: () => boolean = () => false,
  ) {
    this.expectedAt = clock.now();
    this.sampleLateness();
  }

  private sampleLateness(): void {
    this.expectedAt = (this.clock.now() + SAMPLE_INTERVAL_MS) as MonotonicTime;
    this.clock.after(SAMPLE_INTERVAL_MS, () => {
      const latenessMs = Math.max(0, since(this.clock.now(), this.expectedAt));
      this.latenessMs = Math.max(latenessMs, this.latenessMs * LATENESS_DECAY);
      this.sampleLateness();
    });
  }

  /** Admits a request; false: it is to be refused. An admitted one ends with `leave`. */
  enter(requestClass: RequestClass): boolean {
    if (this.active[requestClass] >= this.maxActive[requestClass]) return false;
    if (requestClass === 'submission' && (this.latenessMs > MAX_LATENESS_MS || this.isMemoryScarce()))
      return false;
    this.active[requestClass]++;
    return true;
  }

  /** Ends an admitted request. */
  leave(requestClass: RequestClass): void {
    this.active[requestClass]--;
  }

  /** How late the event loop has lately run. */
  get lateMs(): number {
    return Math.round(this.latenessMs);
  }
}
