import type { AgentIncarnation, HeartbeatSequence } from '../../model/ids.js';
import type { Heartbeat } from '../../model/heartbeat.js';

/** The position in a worker's heartbeats up to which they were taken in: incarnation, then sequence. */
export class HeartbeatCursor {
  /** Most agents are in their first incarnation: assuming it, the first direct call is accepted. */
  private current = 1 as AgentIncarnation;
  private lastSequence = 0 as HeartbeatSequence;

  get incarnation(): AgentIncarnation {
    return this.current;
  }

  beginIncarnation(incarnation: AgentIncarnation): void {
    this.current = incarnation;
  }

  /** Moves on to a heartbeat of the present incarnation. */
  advance(sequence: HeartbeatSequence): void {
    this.lastSequence = sequence;
  }

  /** Whether the heartbeat was sent after all that were taken in. */
  isBefore(heartbeat: Heartbeat): boolean {
    return (
      heartbeat.incarnation > this.current ||
      (heartbeat.incarnation === this.current && heartbeat.sequence > this.lastSequence)
    );
  }
}
