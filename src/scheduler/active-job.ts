/**
 * An unfinished job in the leader's memory: its tasks, their progress, and the conditions that block their placement.
 */
import type { MachineId, Revision, TaskIndex, AttemptNumber, ZoneId } from '../model/ids.js';
import type { JobSpec, Priority } from '../model/job.js';
import type { MonotonicTime, WallTime } from '../model/time.js';
import { DEFAULT_CHUNK_SIZE } from '../store/keys.js';
import type { TaskPlacement } from '../store/progress-record.js';
import { AttemptHistory } from './attempt-history.js';
import { JobDependencies } from './job-dependencies.js';
import { JobFailures } from './job-failures.js';
import { type InheritedPriority, JobPriority } from './job-priority.js';
import { JobProgress, type StoredProgress } from './job-progress.js';
import type { ChunkJob, ProgressChunk } from './progress-chunk.js';
import type { TaskProgress, UnfinishedProgress } from './progress-merge.js';
import { Task } from './task.js';
import { TaskQueue } from './task-queue.js';
import { ZoneTally } from './zone-tally.js';

/** Receives the changes to a job that have to be written to the store (`JobStore`). */
export interface JobListener {
  /** Called when an attempt of a task ended, with or without success, or when the job was cancelled. */
  onJobChanged(job: ActiveJob): void;
  onChunkDirty(chunk: ProgressChunk): void;
  /** Called when chunks of a smaller size have replaced the chunk, which is no longer written. */
  onChunkSuperseded(chunk: ProgressChunk): void;
  /** Called when a released task counts as placed again, on the next machine that a record of its progress names. */
  onPlacementRestored(task: Task): void;
}

/**
 * Owns the tasks of one unfinished job. Phases, machines and zones of tasks change only through the job, so that its
 * counts always match its tasks.
 */
export class ActiveJob implements ChunkJob {
  /** Tasks with at least one attempt; tasks that were never started exist only as a number in the task queue. */
  readonly tasks = new Map<TaskIndex, Task>();
  private readonly queue: TaskQueue;
  private readonly progress: JobProgress;
  private readonly priority: JobPriority;
  readonly dependencies = new JobDependencies();
  readonly failures = new JobFailures();
  readonly history = new AttemptHistory();
  /** The number of tasks that may be on machines, by zone. */
  readonly zoneTally = new ZoneTally();
  /** The `JobStore` that contains this job; null: none does. */
  listener: JobListener | null = null;
  isCancelled = false;
  /**
   * Whether the job was cancelled because one of its dependencies was, while the job's own record does not say so yet.
   */
  isCancelledByDependency = false;
  private doneTaskCount = 0;
  private assignedTaskCount = 0;
  private lastPlacementTime: MonotonicTime | null = null;
  /** The number of tasks that the last heartbeats reported as running. */
  runningCount = 0;
  /** Whether the job's progress was read from records of more than one chunk size. */
  hasMixedChunkSizes = false;
  private isProgressUnreadable = false;

  constructor(
    readonly spec: JobSpec,
    /** The revision of the job's record in the key-value store. */
    readonly revision: Revision,
    readonly acceptedAt: WallTime,
    chunkSize = DEFAULT_CHUNK_SIZE,
  ) {
    this.queue = new TaskQueue(spec.taskCount);
    this.priority = new JobPriority(spec, acceptedAt);
    this.progress = new JobProgress(this, chunkSize);
  }

  // Readiness and priority

  /**
   * Whether none of the job's tasks may start yet: dependencies are unmet or not read yet, or a progress record is
   * unreadable.
   */
  get isBlocked(): boolean {
    return this.dependencies.isBlocked || this.isProgressUnreadable;
  }

  /** The time by which the job should be complete by its own deadline; null: the job has no deadline. */
  get ownDeadline(): WallTime | null {
    return this.priority.ownDeadline;
  }

  /**
   * The time from which the waiting time and the class targets of the job count: its acceptance, or the time at which
   * this leader found its last dependency done. The job's own deadline counts from its acceptance instead.
   */
  get readyAt(): WallTime {
    return this.priority.readyAt;
  }

  markReady(now: WallTime): void {
    this.priority.markReady(now);
  }

  get inheritedPriority(): InheritedPriority {
    return this.priority.inherited;
  }

  inheritPriority(priority: Priority, latestEnd: WallTime | null): void {
    this.priority.inherit({ priority, latestEnd });
  }

  /** The job's description for placement and scale-out, with the inherited priority and deadline. */
  get effectiveSpec(): JobSpec {
    return this.priority.effectiveSpec;
  }

  // Counts and state

  /** The number of tasks that wait for placement. */
  get waitingCount(): number {
    return this.isCancelled ? 0 : this.queue.size;
  }

  get doneCount(): number {
    return this.doneTaskCount;
  }

  /** The number of tasks that may be on machines, including those whose placement is being committed. */
  get assignedCount(): number {
    return this.assignedTaskCount;
  }

  /** The time at which a task of the job was last placed; null: no task was placed in this leadership term. */
  get lastPlacedAt(): MonotonicTime | null {
    return this.lastPlacementTime;
  }

  /**
   * Whether the job is complete, or cancelled with no task left that may be on a machine. The job's records can then be
   * closed.
   */
  get isOver(): boolean {
    return this.isCancelled ? this.assignedCount === 0 : this.isComplete;
  }

  get isComplete(): boolean {
    return this.spec.kind === 'array' && this.doneCount === this.spec.taskCount;
  }

  *assignedTasks(): Generator<Task> {
    for (const task of this.tasks.values()) if (task.isAssigned) yield task;
  }

  // Tasks

  private task(index: TaskIndex): Task {
    let task = this.tasks.get(index);
    if (!task) {
      task = new Task(this, index);
      this.tasks.set(index, task);
      this.chunkOf(index).tasks.set(index, task);
    }
    return task;
  }

  /** Assigns the next waiting task to a machine as a new attempt. */
  beginAttempt(machine: MachineId, zone: ZoneId, now: MonotonicTime): Task {
    const index = this.queue.dequeue();
    const task = this.task(index);
    task.phase = 'committing';
    task.attemptNumber = (task.attemptNumber + 1) as AttemptNumber;
    task.machine = machine;
    task.zone = zone;
    this.zoneTally.add(zone);
    task.placedAt = now;
    this.resetAttempt(task);
    this.assignedTaskCount++;
    this.lastPlacementTime = now;
    const chunk = this.chunkOf(index);
    chunk.committing.add(task);
    chunk.markDirty(now);
    return task;
  }

  private resetAttempt(task: Task): void {
    task.observedState = null;
    task.runningAt = null;
    task.startSentIncarnation = null;
    task.startSentToken = null;
    task.isInherited = false;
    task.pendingStop = null;
  }

  /** Updates the zone of an assigned task's machine; null: the zone is unknown. */
  setTaskZone(task: Task, zone: ZoneId | null): void {
    if (!task.isAssigned || task.zone === zone) return;
    this.zoneTally.remove(task.zone);
    this.zoneTally.add(zone);
    task.zone = zone;
  }

  /** Marks the placement of a task as durable, after which its start command may be sent. */
  confirmPlacement(task: Task): void {
    task.phase = 'placed';
    this.chunkOf(task.index).committing.delete(task);
  }

  /**
   * Ends an attempt that is proven gone and did not succeed. The task waits for placement again, or counts as placed on
   * the next machine that an earlier leader's records name.
   */
  releaseTask(task: Task, now: MonotonicTime): void {
    if (!task.isAssigned) return;
    const chunk = this.chunkOf(task.index);
    chunk.committing.delete(task);
    this.zoneTally.remove(task.zone);
    task.zone = null;
    this.history.recordLost();
    const [next, ...later] = task.progressAfterRelease;
    task.progressAfterRelease = later;
    if (next?.kind === 'placed') this.restoreNextPlacement(task, next.placement);
    else this.queueTask(task, next?.attemptNumber ?? task.attemptNumber);
    chunk.markDirty(now);
    this.listener?.onJobChanged(this);
    if (task.phase === 'placed') this.listener?.onPlacementRestored(task);
  }

  private queueTask(task: Task, lastAttempt: AttemptNumber): void {
    task.phase = 'waiting';
    task.machine = null;
    task.attemptNumber = lastAttempt;
    this.resetAttempt(task);
    this.assignedTaskCount--;
    this.queue.enqueueRetry(task.index);
  }

  private restoreNextPlacement(task: Task, placement: TaskPlacement): void {
    const { pendingStop } = task;
    this.resetAttempt(task);
    this.restorePlacement(task, placement);
    // A task of a cancelled job has to be stopped on the next machine as well.
    if (this.isCancelled) task.pendingStop = pendingStop;
  }

  /** Restores a placement made by an earlier leader. The task counts as placed until the attempt is proven gone. */
  private restorePlacement(task: Task, { attemptNumber, machine }: TaskPlacement): void {
    task.phase = 'placed';
    task.attemptNumber = attemptNumber;
    task.machine = machine;
    task.isInherited = true;
    this.zoneTally.add(null);
  }

  /** Marks a task as ended with success. */
  finishTask(task: Task, now: MonotonicTime): void {
    if (task.isAssigned) {
      this.assignedTaskCount--;
      this.zoneTally.remove(task.zone);
    }
    const chunk = this.chunkOf(task.index);
    chunk.committing.delete(task);
    task.phase = 'done';
    task.machine = null;
    task.zone = null;
    task.observedState = null;
    task.progressAfterRelease = [];
    this.doneTaskCount++;
    chunk.markDirty(now);
    this.listener?.onJobChanged(this);
  }

  // Progress in the store

  get chunks(): ReadonlyMap<number, ProgressChunk> {
    return this.progress.chunks;
  }

  chunkOf(index: TaskIndex): ProgressChunk {
    return this.progress.chunkOf(index);
  }

  onChunkDirty(chunk: ProgressChunk): void {
    // An unreadable record must not be overwritten by a record that lacks the progress in it.
    if (!this.isProgressUnreadable) this.listener?.onChunkDirty(chunk);
  }

  /** Keys of the job's progress records that are replaced by records of another chunk size, or that cannot be read. */
  get supersededKeys(): readonly string[] {
    return this.progress.supersededKeys;
  }

  /**
   * Continues in chunks of the given number of tasks if that is smaller than the current size and than the job's number
   * of tasks (`JobProgress.shrinkChunks`).
   */
  resizeChunks(size: number, now: MonotonicTime): void {
    for (const chunk of this.progress.shrinkChunks(size, now)) this.listener?.onChunkSuperseded(chunk);
  }

  /**
   * Adds a progress record that an earlier leader wrote. `applyStoredProgress` has to be called after the last record.
   *
   * @throws {InvalidRecordError} On a value that no version writes under this key.
   */
  addStoredProgress(chunk: number, size: number, value: unknown, revision: Revision): void {
    this.progress.addStored({ index: chunk, size, revision }, value);
  }

  /**
   * Blocks the job because one of its progress records cannot be read. No task may start, since any of them may be
   * running on a machine that only the unreadable record names.
   */
  markProgressUnreadable(unreadableKey: string): void {
    this.isProgressUnreadable = true;
    this.progress.supersededKeys.push(unreadableKey);
  }

  /** Whether one of the job's progress records cannot be read. */
  get hasUnreadableProgress(): boolean {
    return this.isProgressUnreadable;
  }

  /** Restores the stored progress of all tasks, and queues every task that is neither done nor placed. */
  applyStoredProgress(): StoredProgress {
    const stored = this.progress.mergeStored();
    this.hasMixedChunkSizes = stored.chunkSizes.length > 1;
    for (const [index, progress] of stored.tasks)
      this.restoreTask(this.task(index), progress, stored.unproven.get(index) ?? []);
    let firstNeverStarted = 0;
    for (const index of this.tasks.keys()) firstNeverStarted = Math.max(firstNeverStarted, index + 1);
    for (let index = 0 as TaskIndex; index < firstNeverStarted; index++) {
      const task = this.tasks.get(index);
      if (!task || task.phase === 'waiting') this.queue.enqueueRetry(index);
    }
    this.queue.restoreNeverStarted(firstNeverStarted);
    return stored;
  }

  /**
   * Schedules the rewrite of the records of the current chunk size that contradict the merged progress
   * (`JobProgress.rewriteOutdated`).
   */
  rewriteOutdatedProgress(now: MonotonicTime): void {
    this.progress.rewriteOutdated(now);
  }

  private restoreTask(task: Task, progress: TaskProgress, unproven: readonly TaskPlacement[]): void {
    if (progress.kind === 'done') {
      task.phase = 'done';
      this.doneTaskCount++;
      return;
    }
    const placements = unproven.map((placement): UnfinishedProgress => ({ kind: 'placed', placement }));
    const [current = progress, ...later] = [...placements, progress];
    if (current.kind === 'waiting') {
      task.attemptNumber = current.attemptNumber;
      return;
    }
    task.progressAfterRelease = later;
    this.restorePlacement(task, current.placement);
    this.assignedTaskCount++;
  }
}
