/** An unfinished job in the leader's memory: its tasks, their progress, and what keeps them from starting. */
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

/** Is notified of changes to a job that have to be written to the store (`JobStore`). */
export interface JobListener {
  /** A task ended, or the job was cancelled. */
  onJobChanged(job: ActiveJob): void;
  onChunkDirty(chunk: ProgressChunk): void;
  /** The chunk is not written any more: others have replaced it. */
  onChunkSuperseded(chunk: ProgressChunk): void;
  /** The task may be on another machine as well, where it is held from now on. */
  onHeldElsewhere(task: Task): void;
}

/** Owns its tasks: phases, machines and zones of tasks change through it, so that its counts always fit them. */
export class ActiveJob implements ChunkJob {
  /** Tasks that were begun at least once; the others exist in the queue's count only. */
  readonly tasks = new Map<TaskIndex, Task>();
  private readonly queue: TaskQueue;
  private readonly progress: JobProgress;
  private readonly priority: JobPriority;
  readonly dependencies = new JobDependencies();
  readonly failures = new JobFailures();
  readonly history = new AttemptHistory();
  /** The zones of the tasks that may be on machines. */
  readonly zoneTally = new ZoneTally();
  /** The store that lists this job. */
  listener: JobListener | null = null;
  isCancelled = false;
  /** Cancelled because a job that it depends on was, and its own record does not say so yet. */
  isCancelledByDependency = false;
  private doneTasks = 0;
  private placedTasks = 0;
  private lastPlacement: MonotonicTime | null = null;
  /** Tasks that were running in their last heartbeat. */
  runningCount = 0;
  /** Whether its progress was read from records of more than one chunk size. */
  hasMixedChunkSizes = false;
  private isProgressUnreadable = false;

  constructor(
    readonly spec: JobSpec,
    /** The revision of the job's record. */
    readonly revision: Revision,
    readonly acceptedAt: WallTime,
    chunkSize = DEFAULT_CHUNK_SIZE,
  ) {
    this.queue = new TaskQueue(spec.taskCount);
    this.priority = new JobPriority(spec, acceptedAt);
    this.progress = new JobProgress(this, chunkSize);
  }

  // What keeps it from starting, and its rank

  /** Whether no task of it may start yet. */
  get isBlocked(): boolean {
    return this.dependencies.isBlocked || this.isProgressUnreadable;
  }

  /** When it should be complete by its own deadline. */
  get ownDeadline(): WallTime | null {
    return this.priority.ownDeadline;
  }

  /** From when its times count, deadlines aside: its acceptance, or the end of its last dependency. */
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

  /** The description as placement and scale-out see it: with the inherited priority and deadline. */
  get effectiveSpec(): JobSpec {
    return this.priority.effectiveSpec;
  }

  // Its state

  /** Tasks to be placed. */
  get waitingCount(): number {
    return this.isCancelled ? 0 : this.queue.size;
  }

  get doneCount(): number {
    return this.doneTasks;
  }

  /** Tasks that may be on machines. */
  get assignedCount(): number {
    return this.placedTasks;
  }

  /** When one of its tasks was last placed; null: none was in this term. */
  get lastPlacedAt(): MonotonicTime | null {
    return this.lastPlacement;
  }

  /** Nothing of it is left to be done: its records can be closed. */
  get isOver(): boolean {
    return this.isCancelled ? this.assignedCount === 0 : this.isComplete;
  }

  get isComplete(): boolean {
    return this.spec.kind === 'array' && this.doneCount === this.spec.taskCount;
  }

  *assignedTasks(): Generator<Task> {
    for (const task of this.tasks.values()) if (task.isAssigned) yield task;
  }

  // Its tasks

  private task(index: TaskIndex): Task {
    let task = this.tasks.get(index);
    if (!task) {
      task = new Task(this, index);
      this.tasks.set(index, task);
      this.chunkOf(index).tasks.set(index, task);
    }
    return task;
  }

  /** Places the next waiting task on a machine, in a new attempt. */
  beginAttempt(machine: MachineId, zone: ZoneId, now: MonotonicTime): Task {
    const index = this.queue.take();
    const task = this.task(index);
    task.phase = 'committing';
    task.attemptNumber = (task.attemptNumber + 1) as AttemptNumber;
    task.machine = machine;
    task.zone = zone;
    this.zoneTally.add(zone);
    task.placedAt = now;
    this.resetAttempt(task);
    this.placedTasks++;
    this.lastPlacement = now;
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

  /** Updates the zone of a task's machine; null: it is unknown. */
  setTaskZone(task: Task, zone: ZoneId | null): void {
    if (!task.isAssigned || task.zone === zone) return;
    this.zoneTally.remove(task.zone);
    this.zoneTally.add(zone);
    task.zone = zone;
  }

  /** The placement is durable: start commands may leave. */
  confirmPlacement(task: Task): void {
    task.phase = 'placed';
    this.chunkOf(task.index).committing.delete(task);
  }

  /** The attempt is proven gone without success: the task waits again. */
  releaseTask(task: Task, now: MonotonicTime): void {
    if (!task.isAssigned) return;
    const chunk = this.chunkOf(task.index);
    chunk.committing.delete(task);
    this.zoneTally.remove(task.zone);
    task.zone = null;
    this.history.recordLost();
    const [next, ...later] = task.progressAfterRelease;
    task.progressAfterRelease = later;
    if (next?.kind === 'placed') this.holdElsewhere(task, next.placement);
    else this.queueTask(task, next?.attemptNumber ?? task.attemptNumber);
    chunk.markDirty(now);
    this.listener?.onJobChanged(this);
    if (task.phase === 'placed') this.listener?.onHeldElsewhere(task);
  }

  private queueTask(task: Task, lastAttempt: AttemptNumber): void {
    task.phase = 'waiting';
    task.machine = null;
    task.attemptNumber = lastAttempt;
    this.resetAttempt(task);
    this.placedTasks--;
    this.queue.retry(task.index);
  }

  private holdElsewhere(task: Task, placement: TaskPlacement): void {
    const { pendingStop } = task;
    this.resetAttempt(task);
    this.holdAt(task, placement);
    // A cancelled task has to be gone from there as well.
    if (this.isCancelled) task.pendingStop = pendingStop;
  }

  /** An earlier leader placed the task there: it counts as running until it is proven gone. */
  private holdAt(task: Task, { attemptNumber, machine }: TaskPlacement): void {
    task.phase = 'placed';
    task.attemptNumber = attemptNumber;
    task.machine = machine;
    task.isInherited = true;
    this.zoneTally.add(null);
  }

  /** The task ended with success. */
  finishTask(task: Task, now: MonotonicTime): void {
    if (task.isAssigned) {
      this.placedTasks--;
      this.zoneTally.remove(task.zone);
    }
    const chunk = this.chunkOf(task.index);
    chunk.committing.delete(task);
    task.phase = 'done';
    task.machine = null;
    task.zone = null;
    task.observedState = null;
    task.progressAfterRelease = [];
    this.doneTasks++;
    chunk.markDirty(now);
    this.listener?.onJobChanged(this);
  }

  // Its progress in the store

  get chunks(): ReadonlyMap<number, ProgressChunk> {
    return this.progress.chunks;
  }

  chunkOf(index: TaskIndex): ProgressChunk {
    return this.progress.chunkOf(index);
  }

  onChunkDirty(chunk: ProgressChunk): void {
    // A record that cannot be read must not be replaced by one that knows nothing of it.
    if (!this.isProgressUnreadable) this.listener?.onChunkDirty(chunk);
  }

  /** Keys of its records that are replaced by others. */
  get supersededKeys(): readonly string[] {
    return this.progress.supersededKeys;
  }

  /** Goes on in chunks of this size if that is smaller (`JobProgress.shrinkChunks`). */
  resizeChunks(size: number, now: MonotonicTime): void {
    for (const chunk of this.progress.shrinkChunks(size, now)) this.listener?.onChunkSuperseded(chunk);
  }

  /**
   * Adds a record of progress that an earlier leader wrote; `applyStoredProgress` follows the last one.
   *
   * @throws {InvalidRecordError} On a value that no version writes under this key.
   */
  addStoredProgress(chunk: number, size: number, value: unknown, revision: Revision): void {
    this.progress.addStored({ index: chunk, size, revision }, value);
  }

  /** One of its records cannot be read: none of its tasks may start, since each may be running somewhere. */
  holdBack(unreadableKey: string): void {
    this.isProgressUnreadable = true;
    this.progress.supersededKeys.push(unreadableKey);
  }

  /** Whether one of its records cannot be read. */
  get isHeldBack(): boolean {
    return this.isProgressUnreadable;
  }

  /** Takes over the stored progress, and queues every task that is neither done nor placed. */
  applyStoredProgress(): StoredProgress {
    const stored = this.progress.takeStored();
    this.hasMixedChunkSizes = stored.chunkSizes.length > 1;
    for (const [index, progress] of stored.tasks)
      this.restoreTask(this.task(index), progress, stored.unproven.get(index) ?? []);
    let firstNeverStarted = 0;
    for (const index of this.tasks.keys()) firstNeverStarted = Math.max(firstNeverStarted, index + 1);
    for (let index = 0 as TaskIndex; index < firstNeverStarted; index++) {
      const task = this.tasks.get(index);
      if (!task || task.phase === 'waiting') this.queue.retry(index);
    }
    this.queue.restoreNeverStarted(firstNeverStarted);
    return stored;
  }

  /** Writes the records anew that contradict others (`JobProgress.rewriteOutdated`). */
  rewriteOutdatedProgress(now: MonotonicTime): void {
    this.progress.rewriteOutdated(now);
  }

  private restoreTask(task: Task, progress: TaskProgress, unproven: readonly TaskPlacement[]): void {
    if (progress.kind === 'done') {
      task.phase = 'done';
      this.doneTasks++;
      return;
    }
    const placements = unproven.map((placement): UnfinishedProgress => ({ kind: 'placed', placement }));
    const [current = progress, ...later] = [...placements, progress];
    if (current.kind === 'waiting') {
      task.attemptNumber = current.attemptNumber;
      return;
    }
    task.progressAfterRelease = later;
    this.holdAt(task, current.placement);
    this.placedTasks++;
  }
}
