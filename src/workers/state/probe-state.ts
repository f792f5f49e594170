/** The probe state of one worker, for which at most one series of probes runs at a time. */
export class ProbeState {
  /** The number of failed probes since the last `reset`. */
  private consecutiveFailures = 0;
  isInProgress = false;

  get failedCount(): number {
    return this.consecutiveFailures;
  }

  recordFailure(): void {
    this.consecutiveFailures++;
  }

  reset(): void {
    this.consecutiveFailures = 0;
  }
}
