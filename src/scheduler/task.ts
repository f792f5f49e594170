/** One task of an unfinished job, and what the leader knows of its current attempt. */
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
import type { JobSpec } from '../model/job.js';
import type { MonotonicTime, WallTime } from '../model/time.js';
import type { AttemptHistory } from './attempt-history.js';
import type { JobFailures } from './job-failures.js';
import type { UnfinishedProgress } from './progress-merge.js';
import type { ZoneTally } from './zone-tally.js';

/**
 * - `waiting`: to be placed.
 * - `committing`: placed, but not yet committed: no start command has left.
 * - `placed`: committed; it may be on its machine until proven gone. Both count for quota, placement and capacity.
 * - `done`: ended with success.
 */
export type TaskPhase = 'waiting' | 'committing' | 'placed' | 'done';

/** An attempt that is to be stopped. */
export interface PendingStop {
  readonly graceS: number;
  /** `misplaced`: its start command was withheld, see `CommandIssuer`. */
  readonly reason: 'cancelled' | 'preempted' | 'drain' | 'misplaced';
  readonly since: MonotonicTime;
}

/** A version of progress that becomes durable in the store some time after the change. */
export interface DurableProgress {
  readonly version: number;
  isDurable(version: number): boolean;
}

/** The job of a task, as far as those who hold the task need it (`ActiveJob`). */
export interface TaskJob {
  readonly spec: JobSpec;
  /** The description with the inherited priority and deadline. */
  readonly effectiveSpec: JobSpec;
  readonly readyAt: WallTime;
  readonly isCancelled: boolean;
  readonly zoneTally: ZoneTally;
  readonly failures: JobFailures;
  readonly history: AttemptHistory;
  runningCount: number;
  chunkOf(index: TaskIndex): DurableProgress;
  setTaskZone(task: Task, zone: ZoneId | null): void;
  confirmPlacement(task: Task): void;
  releaseTask(task: Task, now: MonotonicTime): void;
  finishTask(task: Task, now: MonotonicTime): void;
}

const NO_PROGRESS: readonly UnfinishedProgress[] = [];

/** A task that was begun at least once. Its phase, machine and zone are changed by its job alone. */
export class Task {
  phase: TaskPhase = 'waiting';
  attemptNumber = 0 as AttemptNumber;
  machine: MachineId | null = null;
  /** The confirmed zone of its machine; null: unknown, or on no machine. */
  zone: ZoneId | null = null;
  private lastObservedState: AttemptState | null = null;
  runningAt: MonotonicTime | null = null;
  placedAt: MonotonicTime | null = null;
  /** The agent's incarnation when a start command first left; null: none has left in our epoch. */
  startSentIncarnation: AgentIncarnation | null = null;
  /** The fencing token that a start command last left with; null: none has left in our epoch. */
  startSentToken: FencingToken | null = null;
  /** Placed in an earlier epoch: gone once a heartbeat in ours lacks it. */
  isInherited = false;
  pendingStop: PendingStop | null = null;
  /**
   * What counts once the current placement is proven gone, in this order: records of earlier versions may name several
   * placements that can be running, and each is held until it is proven gone (`MergedProgress`).
   */
  progressAfterRelease: readonly UnfinishedProgress[] = NO_PROGRESS;

  constructor(
    readonly job: TaskJob,
    readonly index: TaskIndex,
  ) {}

  get id(): TaskId {
    return formatTaskId(this.job.spec.id, this.index);
  }

  /** Whether it may be on a machine. */
  get isAssigned(): boolean {
    return this.phase === 'committing' || this.phase === 'placed';
  }

  /** The state of this attempt in the last heartbeat. */
  get observedState(): AttemptState | null {
    return this.lastObservedState;
  }

  set observedState(state: AttemptState | null) {
    if (this.lastObservedState === 'running') this.job.runningCount--;
    if (state === 'running') this.job.runningCount++;
    this.lastObservedState = state;
  }
}
