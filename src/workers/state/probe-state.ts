/** The probes of one worker: at most one series of them is under way. */
export class ProbeState {
  /** Probes without an answer since the worker was last found responsive. */
  private failed = 0;
  isInProgress = false;

  get failedCount(): number {
    return this.failed;
  }

  recordFailure(): void {
    this.failed++;
  }

  reset(): void {
    this.failed = 0;
  }
}
