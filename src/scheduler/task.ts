/** A task of an unfinished job, and the leader's state of its current attempt. */
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
 * The phase of a task in its lifecycle. Tasks in `committing` and in `placed` count for quota, placement and capacity.
 *
 * - `waiting`: to be placed.
 * - `committing`: assigned to a machine, but the placement is not durable yet: no start command has been sent.
 * - `placed`: the placement is durable; the attempt may be on its machine until it is proven gone.
 * - `done`: ended with success.
 */
export type TaskPhase = 'waiting' | 'committing' | 'placed' | 'done';

/** A request to stop an attempt, pending until the attempt is gone. */
export interface PendingStop {
  readonly graceS: number;
  /** `misplaced`: the attempt's start command was withheld by `CommandIssuer`. */
  readonly reason: 'cancelled' | 'preempted' | 'drain' | 'misplaced';
  readonly since: MonotonicTime;
}

/** Progress whose changes become durable in the store some time after they are made, tracked by version numbers. */
export interface DurableProgress {
  readonly version: number;
  isDurable(version: number): boolean;
}

/** The part of a job that the users of its tasks need; implemented by `ActiveJob`. */
export interface TaskJob {
  readonly spec: JobSpec;
  /** The job's description with the inherited priority and deadline. */
  readonly effectiveSpec: JobSpec;
  readonly readyAt: WallTime;
  readonly isCancelled: boolean;
  /** The number of tasks that have ended with success. */
  readonly doneCount: number;
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

/** A task with at least one attempt. The task's phase, machine and zone are changed by its job alone. */
export class Task {
  phase: TaskPhase = 'waiting';
  attemptNumber = 0 as AttemptNumber;
  machine: MachineId | null = null;
  /** The confirmed zone of the task's machine; null: the zone is unknown, or the task is on no machine. */
  zone: ZoneId | null = null;
  private lastObservedState: AttemptState | null = null;
  runningAt: MonotonicTime | null = null;
  placedAt: MonotonicTime | null = null;
  /**
   * The agent's incarnation when the first start command of the attempt was sent or, if none was sent in this leader's
   * epoch, when a heartbeat first listed the attempt; null: neither has happened in this epoch.
   */
  startSentIncarnation: AgentIncarnation | null = null;
  /**
   * The fencing token of the last start command of the attempt; null: no start command was sent in this leader's epoch.
   */
  startSentToken: FencingToken | null = null;
  /**
   * Whether the attempt was placed in an earlier epoch and has not been listed by a heartbeat in this leader's epoch.
   * Such an attempt is gone once a heartbeat in this epoch does not list the attempt.
   */
  isInherited = false;
  pendingStop: PendingStop | null = null;
  /**
   * The states that apply, in this order, once the current placement is proven gone. Records written by earlier
   * versions may name several placements that may be running; the task counts as placed on each of them until that
   * placement is proven gone (`MergedProgress`).
   */
  progressAfterRelease: readonly UnfinishedProgress[] = NO_PROGRESS;

  constructor(
    readonly job: TaskJob,
    readonly index: TaskIndex,
  ) {}

  get id(): TaskId {
    return formatTaskId(this.job.spec.id, this.index);
  }

  /** Whether the task may be on a machine. */
  get isAssigned(): boolean {
    return this.phase === 'committing' || this.phase === 'placed';
  }

  /** The state of the current attempt in the last heartbeat; null: none was reported. */
  get observedState(): AttemptState | null {
    return this.lastObservedState;
  }

  set observedState(state: AttemptState | null) {
    if (this.lastObservedState === 'running') this.job.runningCount--;
    if (state === 'running') this.job.runningCount++;
    this.lastObservedState = state;
  }
}
