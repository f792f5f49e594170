/** A user who polls for one job, and the longest time for which the user got no answer. */
import type { JobId } from '../../src/model/ids.js';
import { type Clock, type MonotonicTime, since } from '../../src/model/time.js';

/** The interval between two polls of a user (PROTOCOL). */
const POLL_INTERVAL_MS = 5000;
/** The time for which a user waits for a response (PROTOCOL). */
const RESPONSE_TIMEOUT_MS = 2000;
const OK_STATUS = 200;

/** The response to one poll. */
export interface PollResponse {
  readonly status: number;
  /** The seconds after which the user should retry. */
  readonly retryAfter?: number;
}

/** Polls about every 5 s, or after the time that a refusal names, and records the times without an answer. */
export class PollingUser {
  /** The statuses of the responses and the number of each; a response that came too late counts as 0. */
  readonly statusCounts = new Map<number, number>();
  private unansweredSince: MonotonicTime;
  private longestGapMs = 0;

  constructor(
    readonly id: JobId,
    private readonly clock: Clock,
    private readonly random: () => number,
    /** Sends one query; null: no controller accepts connections. */
    private readonly send: (id: JobId) => Promise<PollResponse | null>,
  ) {
    this.unansweredSince = clock.now();
  }

  /** Starts to poll, at a random moment within the interval. */
  start(): void {
    this.pollAfter(this.random() * POLL_INTERVAL_MS);
  }

  /** Starts the measurement: earlier times without an answer no longer count. */
  resetGap(): void {
    this.unansweredSince = this.clock.now();
    this.longestGapMs = 0;
  }

  /** The longest time without an answer since the last reset, the time since the last answer included. */
  get longestGapS(): number {
    return Math.max(this.longestGapMs, since(this.clock.now(), this.unansweredSince)) / 1000;
  }

  private pollAfter(delayMs: number): void {
    this.clock.after(delayMs, () => void this.poll());
  }

  private async poll(): Promise<void> {
    const response = await this.responseInTime();
    const status = response?.status ?? 0;
    this.statusCounts.set(status, (this.statusCounts.get(status) ?? 0) + 1);
    if (status === OK_STATUS) this.recordAnswer();
    const retryMs = (response?.retryAfter ?? 0) * 1000;
    this.pollAfter(retryMs > 0 ? retryMs : POLL_INTERVAL_MS);
  }

  private recordAnswer(): void {
    const now = this.clock.now();
    this.longestGapMs = Math.max(this.longestGapMs, since(now, this.unansweredSince));
    this.unansweredSince = now;
  }

  /** Resolves to null if no response arrives in time; a controller that ends never responds. */
  private responseInTime(): Promise<PollResponse | null> {
    return new Promise((resolve) => {
      const cancelTimeout = this.clock.after(RESPONSE_TIMEOUT_MS, () => resolve(null));
      const finish = (response: PollResponse | null): void => {
        cancelTimeout();
        resolve(response);
      };
      this.send(this.id).then(finish, () => finish(null));
    });
  }
}
