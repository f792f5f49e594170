/** Counts the store writes that a leader requests, by purpose. */
export class WriteCounts {
  starts = 0;
  progress = 0;
  closings = 0;
  /** Deletions of the keys of ended jobs. */
  staleKeys = 0;
  fleet = 0;

  /** Returns the counts since the last call for the log and resets them. */
  take(): Record<string, number> {
    const { starts, progress, closings, staleKeys, fleet } = this;
    this.starts = 0;
    this.progress = 0;
    this.closings = 0;
    this.staleKeys = 0;
    this.fleet = 0;
    return { starts, progress, closings, staleKeys, fleet };
  }
}
