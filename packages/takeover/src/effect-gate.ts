/**
 * What an owner asks before every effect: whether it has run without a pause since its ownership was last confirmed.
 * A process that stood still may have been replaced meanwhile and finds out here, before it acts.
 */

/** Notices pauses of this process. */
export interface PauseSource {
  /** Looks at the clock now: after a pause the first effect may come before any timer. */
  checkPause(): void;
  /** Calls back for every pause that is noticed. */
  onPause(paused: (pausedMs: number) => void): void;
}

/** Closed from a pause of the process until the ownership is confirmed again. */
export class EffectGate {
  private closed = false;
  private pauses = 0;

  constructor(
    private readonly source: PauseSource,
    private readonly onClosed: (pausedMs: number) => void,
  ) {
    source.onPause((pausedMs) => this.close(pausedMs));
  }

  get open(): boolean {
    this.source.checkPause();
    return !this.closed;
  }

  /** A number that changes with every pause: what was asked for before one confirms nothing after it. */
  get generation(): number {
    return this.pauses;
  }

  /** The ownership was confirmed by a request that was sent in this generation. */
  reopen(generation: number): void {
    this.source.checkPause();
    if (generation === this.pauses) this.closed = false;
  }

  private close(pausedMs: number): void {
    this.pauses++;
    this.closed = true;
    this.onClosed(pausedMs);
  }
}
