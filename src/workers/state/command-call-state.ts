/** Tracks whether a command call to one worker is in flight, and whether another call must follow. */
export class CommandCallState {
  private state: 'idle' | 'in flight' | 'in flight, another requested' = 'idle';

  get isInFlight(): boolean {
    return this.state !== 'idle';
  }

  /** Records that a call is sent. */
  begin(): void {
    this.state = 'in flight';
  }

  /** Requests another call after the call in flight; has no effect while no call is in flight. */
  requestFollowUp(): void {
    if (this.state === 'in flight') this.state = 'in flight, another requested';
  }

  /** Cancels a request made with `requestFollowUp`. */
  cancelFollowUp(): void {
    if (this.state === 'in flight, another requested') this.state = 'in flight';
  }

  /** Records that the call has ended, and returns whether another call was requested in the meantime. */
  finish(): boolean {
    const isFollowUpRequested = this.state === 'in flight, another requested';
    this.state = 'idle';
    return isFollowUpRequested;
  }
}
