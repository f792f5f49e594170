/** One task of an unfinished job, and what a leader knows of its current attempt. */
import {
  type HostId,
  type TaskId,
  taskId,
  type TaskIndex,
  type SessionNumber,
  type Token,
  type TryNo,
  type ZoneId,
} from '../model/ids.js';
import type { AttemptState } from '../model/heartbeat.js';
import type { Steady } from '../model/time.js';
import type { OpenJob } from './active-job.js';

/**
 * `deciding`: chosen, not yet committed: no order has left. `placed`: committed; it may be on its
 * host until proven gone. Both count for quota, placement and room.
 */
export type TaskPhase = 'waiting' | 'deciding' | 'placed' | 'done';

/** An attempt that is to be stopped. */
export interface Kill {
  readonly graceS: number;
  /** `misplaced`: its run order was withheld, see `OrderIssuer`. */
  readonly why: 'cancelled' | 'room' | 'drain' | 'misplaced';
  readonly at: Steady;
}

/** A task that was begun at least once. */
export class Task {
  phase: TaskPhase = 'waiting';
  tryNo = 0 as TryNo;
  host: HostId | null = null;
  /** The confirmed zone of its machine; null: not known, or on none. Changed by its job alone. */
  zone: ZoneId | null = null;
  private lastShown: AttemptState | null = null;
  runningAt: Steady | null = null;
  placedAt: Steady | null = null;
  /** The host's session when a run order first left; null: none has left under our epoch. */
  sentSession: SessionNumber | null = null;
  /** The token that a run order last left with; null: none has left under our epoch. */
  sentToken: Token | null = null;
  /** Placed by an earlier epoch: gone once a report under ours lacks it. */
  inherited = false;
  kill: Kill | null = null;

  constructor(
    readonly job: OpenJob,
    readonly index: TaskIndex,
  ) {}

  get id(): TaskId {
    return taskId(this.job.spec.id, this.index);
  }

  get held(): boolean {
    return this.phase === 'deciding' || this.phase === 'placed';
  }

  /** What the host last showed of this attempt. */
  get shown(): AttemptState | null {
    return this.lastShown;
  }

  set shown(state: AttemptState | null) {
    if (this.lastShown === 'running') this.job.running--;
    if (state === 'running') this.job.running++;
    this.lastShown = state;
  }
}
