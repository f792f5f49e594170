/** One task of an unfinished job, and what a leader knows of its current attempt. */
import {
  type MachineId,
  type TaskId,
  formatTaskId,
  type TaskIndex,
  type AgentIncarnation,
  type FencingToken,
  type AttemptNumber,
  type ZoneId,
} from '../model/ids.js';
import type { AttemptState } from '../model/heartbeat.js';
import type { MonotonicTime } from '../model/time.js';
import type { ActiveJob } from './active-job.js';

/**
 * `committing`: chosen, not yet committed: no order has left. `placed`: committed; it may be on its
 * host until proven gone. Both count for quota, placement and room.
 */
export type TaskPhase = 'waiting' | 'committing' | 'placed' | 'done';

/** An attempt that is to be stopped. */
export interface PendingStop {
  readonly graceS: number;
  /** `misplaced`: its run order was withheld, see `OrderIssuer`. */
  readonly reason: 'cancelled' | 'preempted' | 'drain' | 'misplaced';
  readonly since: MonotonicTime;
}

/** A task that was begun at least once. */
export class Task {
  phase: TaskPhase = 'waiting';
  attemptNumber = 0 as AttemptNumber;
  machine: MachineId | null = null;
  /** The confirmed zone of its machine; null: not known, or on none. Changed by its job alone. */
  zone: ZoneId | null = null;
  private lastShown: AttemptState | null = null;
  runningAt: MonotonicTime | null = null;
  placedAt: MonotonicTime | null = null;
  /** The host's session when a run order first left; null: none has left under our epoch. */
  startSentIncarnation: AgentIncarnation | null = null;
  /** The token that a run order last left with; null: none has left under our epoch. */
  startSentToken: FencingToken | null = null;
  /** Placed by an earlier epoch: gone once a report under ours lacks it. */
  isInherited = false;
  pendingStop: PendingStop | null = null;

  constructor(
    readonly job: ActiveJob,
    readonly index: TaskIndex,
  ) {}

  get id(): TaskId {
    return formatTaskId(this.job.spec.id, this.index);
  }

  get isAssigned(): boolean {
    return this.phase === 'committing' || this.phase === 'placed';
  }

  /** What the host last showed of this attempt. */
  get observedState(): AttemptState | null {
    return this.lastShown;
  }

  set observedState(state: AttemptState | null) {
    if (this.lastShown === 'running') this.job.runningCount--;
    if (state === 'running') this.job.runningCount++;
    this.lastShown = state;
  }
}
