import type { AgentIncarnation, HeartbeatSequence } from '../../model/ids.js';
import type { Heartbeat } from '../../model/heartbeat.js';

/** The position of the last processed heartbeat of a worker, ordered by incarnation, then by sequence number. */
export class HeartbeatCursor {
  /** The incarnation of the agent; 1 is assumed initially, since most agents then accept the first direct call. */
  private currentIncarnation = 1 as AgentIncarnation;
  private lastSequence = 0 as HeartbeatSequence;

  get incarnation(): AgentIncarnation {
    return this.currentIncarnation;
  }

  beginIncarnation(incarnation: AgentIncarnation): void {
    this.currentIncarnation = incarnation;
  }

  /** Advances to a heartbeat of the current incarnation. */
  advance(sequence: HeartbeatSequence): void {
    this.lastSequence = sequence;
  }

  /** Whether the heartbeat was sent after every processed heartbeat. */
  isNewer(heartbeat: Heartbeat): boolean {
    return (
      heartbeat.incarnation > this.currentIncarnation ||
      (heartbeat.incarnation === this.currentIncarnation && heartbeat.sequence > this.lastSequence)
    );
  }
}
