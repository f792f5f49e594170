/**
 * What an owner asks before every effect: whether it has run without a pause since its ownership was last confirmed.
 * A process that stood still may have been replaced meanwhile and finds out here, before it acts.
 */
import { type Clock, PauseDetector } from '@plumyoke/membership';

/** Closed from a pause of the process until the ownership is confirmed again. */
export class EffectGate {
  private readonly detector: PauseDetector;
  private closed = false;
  private pauses = 0;

  constructor(
    clock: Clock,
    thresholdMs: number,
    private readonly onClosed: (pausedMs: number) => void,
  ) {
    this.detector = new PauseDetector(clock, thresholdMs, (pausedMs) => this.close(pausedMs));
  }

  start(): void {
    this.detector.start();
  }

  stop(): void {
    this.detector.stop();
  }

  /** Looks at the clock itself: after a pause the first effect may come before any timer. */
  get open(): boolean {
    this.detector.check();
    return !this.closed;
  }

  /** A number that changes with every pause: what was asked for before one confirms nothing after it. */
  get generation(): number {
    return this.pauses;
  }

  /** The ownership was confirmed by a request that was sent in this generation. */
  reopen(generation: number): void {
    this.detector.check();
    if (generation === this.pauses) this.closed = false;
  }

  private close(pausedMs: number): void {
    this.pauses++;
    this.closed = true;
    this.onClosed(pausedMs);
  }
}
