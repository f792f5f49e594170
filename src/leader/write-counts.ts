/** How many changes a leader has asked of the state service, by what they were for. */
export class WriteCounts {
  starts = 0;
  progress = 0;
  closings = 0;
  leftOvers = 0;
  fleet = 0;

  /** The counts since the last call, for the log. */
  take(): Record<string, number> {
    const { starts, progress, closings, leftOvers, fleet } = this;
    this.starts = 0;
    this.progress = 0;
    this.closings = 0;
    this.leftOvers = 0;
    this.fleet = 0;
    return { starts, progress, closings, leftOvers, fleet };
  }
}
