/** Whether a command call to one worker is under way, and whether another has to follow it. */
export class PendingCommands {
  private state: 'idle' | 'in flight' | 'in flight, another requested' = 'idle';

  get isInFlight(): boolean {
    return this.state !== 'idle';
  }

  /** A call leaves. */
  begin(): void {
    this.state = 'in flight';
  }

  /** Asks for another call after the one in flight. */
  requestAnother(): void {
    if (this.state === 'in flight') this.state = 'in flight, another requested';
  }

  /** Withdraws what `requestAnother` asked for. */
  cancelRequest(): void {
    if (this.state === 'in flight, another requested') this.state = 'in flight';
  }

  /** The call is over. Returns whether another was requested meanwhile. */
  finish(): boolean {
    const isAnotherRequested = this.state === 'in flight, another requested';
    this.state = 'idle';
    return isAnotherRequested;
  }
}
