/**
 * The gate that an owner checks before every effect. The gate is open from the start, and a detected pause of the
 * process closes the gate until the ownership of a unit is confirmed or claimed again: another process may take over
 * during a pause, and a paused owner must not act before the next confirmation.
 */

/** Detects pauses of this process, such as SIGSTOP or a suspended virtual machine. */
export interface PauseSource {
  /** Checks for a pause now. After a pause, the first effect may be attempted before any timer has run. */
  checkPause(): void;
  /** Registers a listener that is called with the duration of every detected pause. */
  onPause(listener: (pausedMs: number) => void): void;
}

/** Blocks effects from a pause of the process until its ownership is confirmed again. */
export class EffectGate {
  private isClosed = false;
  private pauseCount = 0;

  constructor(
    private readonly pauseSource: PauseSource,
    private readonly onClose: (pausedMs: number) => void,
  ) {
    pauseSource.onPause((pausedMs) => this.close(pausedMs));
  }

  /** Whether effects are allowed now. The getter checks for a pause first. */
  get isOpen(): boolean {
    this.pauseSource.checkPause();
    return !this.isClosed;
  }

  /** The number of pauses so far. A confirmation that was requested in an earlier generation must not open the gate. */
  get generation(): number {
    return this.pauseCount;
  }

  /** Opens the gate if `generation`, in which the confirmation was requested, is still the current generation. */
  reopen(generation: number): void {
    this.pauseSource.checkPause();
    if (generation === this.pauseCount) this.isClosed = false;
  }

  private close(pausedMs: number): void {
    this.pauseCount++;
    this.isClosed = true;
    this.onClose(pausedMs);
  }
}
