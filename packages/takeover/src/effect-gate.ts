/**
 * The gate that an owner checks before every effect: whether it has run without a pause since its ownership was last
 * confirmed. A process that was paused may have been replaced meanwhile, and detects that here before it acts.
 */

/** Detects pauses of this process. */
export interface PauseSource {
  /** Checks for a pause now: after one, the first effect may come before any timer has run. */
  checkPause(): void;
  /** Calls back for every detected pause. */
  onPause(listener: (pausedMs: number) => void): void;
}

/** Is closed from a pause of the process until the ownership is confirmed again. */
export class EffectGate {
  private isClosed = false;
  private pauseCount = 0;

  constructor(
    private readonly source: PauseSource,
    private readonly onClose: (pausedMs: number) => void,
  ) {
    source.onPause((pausedMs) => this.close(pausedMs));
  }

  /** Whether effects are allowed now. Checks for a pause first. */
  get open(): boolean {
    this.source.checkPause();
    return !this.isClosed;
  }

  /** Changes with every pause: a confirmation that was requested before a pause is void after it. */
  get generation(): number {
    return this.pauseCount;
  }

  /** Opens the gate, if the ownership was confirmed by a request that was sent in the current generation. */
  reopen(generation: number): void {
    this.source.checkPause();
    if (generation === this.pauseCount) this.isClosed = false;
  }

  private close(pausedMs: number): void {
    this.pauseCount++;
    this.isClosed = true;
    this.onClose(pausedMs);
  }
}
