/** Load shedding for user requests: refuses requests above a concurrency limit, and submissions under overload. */
import { type Clock, type MonotonicTime, since } from '../model/time.js';

const SAMPLE_INTERVAL_MS = 100;
/** The factor by which the recorded event-loop lateness is multiplied at each sample; a higher sample replaces it. */
const LATENESS_DECAY_RATIO = 0.8;
/**
 * Event-loop lateness above which submissions are refused: the process is overloaded, and heartbeats and scheduling
 * decisions have priority over new jobs.
 */
const MAX_EVENT_LOOP_LATENESS_MS = 1500;

/** The class of a user request. An overloaded controller refuses submissions while it still answers queries. */
export type RequestClass = 'submission' | 'query';

/**
 * Limits the concurrent requests of each class. A request above the limit is refused immediately instead of queued, as
 * is every submission while the event loop is later than `MAX_EVENT_LOOP_LATENESS_MS` or memory is scarce.
 */
export class Admission {
  private readonly active: Record<RequestClass, number> = { submission: 0, query: 0 };
  private latenessMs = 0;
  private longestLatenessMs = 0;
  private expectedAt: MonotonicTime;

  constructor(
    private readonly clock: Clock,
    private readonly maxActive: Readonly<Record<RequestClass, number>>,
    /** Whether the process is too short of memory to accept new jobs. */
    private readonly isMemoryScarce: () => boolean = () => false,
  ) {
    this.expectedAt = clock.now();
    this.sampleLateness();
  }

  private sampleLateness(): void {
    this.expectedAt = (this.clock.now() + SAMPLE_INTERVAL_MS) as MonotonicTime;
    this.clock.after(SAMPLE_INTERVAL_MS, () => {
      const latenessMs = Math.max(0, since(this.clock.now(), this.expectedAt));
      this.latenessMs = Math.max(latenessMs, this.latenessMs * LATENESS_DECAY_RATIO);
      this.longestLatenessMs = Math.max(latenessMs, this.longestLatenessMs);
      this.sampleLateness();
    });
  }

  /**
   * Tries to admit a request; false: the caller must refuse the request. Each admitted request must be released once it
   * has been answered.
   */
  tryAcquire(requestClass: RequestClass): boolean {
    if (this.active[requestClass] >= this.maxActive[requestClass]) return false;
    if (
      requestClass === 'submission' &&
      (this.latenessMs > MAX_EVENT_LOOP_LATENESS_MS || this.isMemoryScarce())
    )
      return false;
    this.active[requestClass]++;
    return true;
  }

  /** Releases the place of an admitted request once the request has been answered. */
  release(requestClass: RequestClass): void {
    this.active[requestClass]--;
  }

  /** Returns the longest delay of the event loop since the last call, in milliseconds, rounded. */
  takeLongestLatenessMs(): number {
    const longestMs = Math.round(this.longestLatenessMs);
    this.longestLatenessMs = 0;
    return longestMs;
  }

  /** The recent lateness of the event loop's timers in milliseconds: a decaying maximum, rounded. */
  get lateMs(): number {
    return Math.round(this.latenessMs);
  }
}
