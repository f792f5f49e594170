/** An unfinished job as its leader knows it: its tasks, its progress, what it waits for. */
import type { MachineId, JobId, Revision, TaskIndex, AttemptNumber, ZoneId } from '../model/ids.js';
import type { JobSpec, Priority } from '../model/job.js';
import type { MonotonicTime, WallTime } from '../model/time.js';
import { DEFAULT_CHUNK_SIZE, keys } from '../store/keys.js';
import { decodeChunk, type TaskPlacement } from '../store/progress-record.js';
import { ProgressChunk } from './progress-chunk.js';
import type { JobStore } from './job-store.js';
import { Task } from './task.js';
import { ZoneTally } from './zone-tally.js';

/** Tasks that were never begun exist as a number only: a hundred thousand of them cost nothing. */
export class ActiveJob {
  readonly tasks = new Map<TaskIndex, Task>();
  readonly chunks = new Map<number, ProgressChunk>();
  private fresh = 0;
  private readonly again: TaskIndex[] = [];
  /** The store that lists this job; it is told of every change. */
  store: JobStore | null = null;
  isCancelled = false;
  doneCount = 0;
  assignedCount = 0;
  /** Where the tasks are that may be on machines. */
  readonly zoneTally = new ZoneTally();
  /** Tasks that were last shown running. */
  runningCount = 0;
  /** When one of its tasks was last given a machine. */
  lastPlacedAt: MonotonicTime | null = null;
  /** Hosts on which this job's tasks failed, and until when it waits after failing on several. */
  readonly failedMachines = new Set<MachineId>();
  /** When its tasks ran, for the log. */
  firstRunAt: MonotonicTime | null = null;
  lastRunAt: MonotonicTime | null = null;
  lostAttempts = 0;
  failures = 0;
  backoffUntil: MonotonicTime | null = null;

  /** Jobs that are not known to be done yet and that have to be. */
  readonly unmetDependencies = new Set<JobId>();
  /** Its list of dependencies has further records that are not read yet. */
  hasUnreadDependencies = false;
  /** From when its times count, deadlines aside: its acceptance, or when the last job that it needs was done. */
  readyAt: WallTime;
  /** Cancelled with a job that it needs; its own record is still to say so. */
  cancelledByDependency = false;
  /** The best priority of all that need it, and the latest end that leaves them theirs. */
  inheritedPriority: { readonly priority: Priority; readonly latestEnd: WallTime | null };
  private rankedSpec: JobSpec | null = null;
  /** Progress as found, chunks of all sizes; applied by `settle`. */
  private storedProgress: { chunk: number; size: number; value: unknown; revision: Revision }[] = [];
  /** Records of progress that others have taken the place of. */
  readonly supersededKeys: string[] = [];

  constructor(
    readonly spec: JobSpec,
    readonly revision: Revision,
    readonly acceptedAt: WallTime,
    private chunkTasks = DEFAULT_CHUNK_SIZE,
  ) {
    this.readyAt = acceptedAt;
    this.inheritedPriority = { priority: spec.priority, latestEnd: this.ownDeadline };
  }

  /** When it should be complete by its own deadline, which counts from its submission. */
  get ownDeadline(): WallTime | null {
    const { deadlineS } = this.spec;
    return deadlineS === null ? null : ((this.acceptedAt + deadlineS * 1000) as WallTime);
  }

  /** Nothing of it may start yet. */
  get isBlocked(): boolean {
    return this.unmetDependencies.size > 0 || this.hasUnreadDependencies;
  }

  inheritPriority(priority: Priority, latestEnd: WallTime | null): void {
    this.inheritedPriority = { priority, latestEnd };
    this.rankedSpec = null;
  }

  markReady(now: WallTime): void {
    this.readyAt = now;
    this.rankedSpec = null;
  }

  /** As placement and renting see it: with the priority and the deadline of all that need it. */
  get effectiveSpec(): JobSpec {
    const { priority, latestEnd } = this.inheritedPriority;
    this.rankedSpec ??=
      priority === this.spec.priority && latestEnd === this.ownDeadline && this.readyAt === this.acceptedAt
        ? this.spec
        : {
            ...this.spec,
            priority,
            deadlineS: latestEnd === null ? null : (latestEnd - this.readyAt) / 1000,
          };
    return this.rankedSpec;
  }

  get waitingCount(): number {
    return this.isCancelled ? 0 : this.again.length + (this.spec.taskCount - this.fresh);
  }

  /** Nothing of it is left to be done: its records can be closed. */
  get isOver(): boolean {
    return this.isCancelled ? this.assignedCount === 0 : this.isComplete;
  }

  get isComplete(): boolean {
    return this.spec.kind === 'array' && this.doneCount === this.spec.taskCount;
  }

  private task(index: TaskIndex): Task {
    let task = this.tasks.get(index);
    if (!task) {
      task = new Task(this, index);
      this.tasks.set(index, task);
      this.chunkOf(index).tasks.set(index, task);
    }
    return task;
  }

  chunkOf(index: TaskIndex): ProgressChunk {
    const n = Math.floor(index / this.chunkTasks);
    let chunk = this.chunks.get(n);
    if (!chunk) {
      chunk = new ProgressChunk(this, n, this.chunkTasks);
      this.chunks.set(n, chunk);
    }
    return chunk;
  }

  /** Takes the next waiting task for a host; its try is a new one. */
  beginAttempt(machine: MachineId, zone: ZoneId, now: MonotonicTime): Task {
    const index = this.again.length > 0 ? (this.again.shift() as TaskIndex) : (this.fresh++ as TaskIndex);
    const task = this.task(index);
    task.phase = 'committing';
    task.attemptNumber = (task.attemptNumber + 1) as AttemptNumber;
    task.machine = machine;
    task.zone = zone;
    this.zoneTally.add(zone);
    task.placedAt = now;
    this.resetAttempt(task);
    this.assignedCount++;
    this.lastPlacedAt = now;
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

  /** What is known now of the zone of a task's machine; null: nothing. */
  setTaskZone(task: Task, zone: ZoneId | null): void {
    if (!task.isAssigned || task.zone === zone) return;
    this.zoneTally.remove(task.zone);
    this.zoneTally.add(zone);
    task.zone = zone;
  }

  /** The start is durable: run orders may leave. */
  confirmPlacement(task: Task): void {
    task.phase = 'placed';
    this.chunkOf(task.index).committing.delete(task);
  }

  /** The attempt is proven gone without success. */
  releaseTask(task: Task, now: MonotonicTime): void {
    if (!task.isAssigned) return;
    const chunk = this.chunkOf(task.index);
    chunk.committing.delete(task);
    task.phase = 'waiting';
    task.machine = null;
    this.zoneTally.remove(task.zone);
    task.zone = null;
    this.resetAttempt(task);
    this.assignedCount--;
    this.lostAttempts++;
    this.again.push(task.index);
    chunk.markDirty(now);
    this.store?.onJobChanged(this);
  }

  finishTask(task: Task, now: MonotonicTime): void {
    if (task.isAssigned) {
      this.assignedCount--;
      this.zoneTally.remove(task.zone);
    }
    const chunk = this.chunkOf(task.index);
    chunk.committing.delete(task);
    task.phase = 'done';
    task.machine = null;
    task.zone = null;
    task.observedState = null;
    this.doneCount++;
    chunk.markDirty(now);
    this.store?.onJobChanged(this);
  }

  /** Takes over what an earlier leader wrote. */
  addStoredProgress(chunk: number, size: number, value: unknown, revision: Revision): void {
    this.storedProgress.push({ chunk, size, value, revision });
  }

  /**
   * After all records of progress were given: what they say, and what waits. Smaller chunks were made of
   * larger ones and list every task that was ever begun: they are read last, and what they say counts.
   */
  applyStoredProgress(): void {
    const told = new Map<
      TaskIndex,
      { done: boolean; placed?: TaskPlacement; attemptNumber?: AttemptNumber }
    >();
    for (const { chunk, size, value, revision } of this.storedProgress.sort((a, b) => b.size - a.size)) {
      const first = chunk * size;
      if (size === this.chunkTasks) this.chunkOf(first as TaskIndex).revision = revision;
      else this.supersededKeys.push(keys.openChunk(this.spec.id, chunk, size));
      const stored = decodeChunk(value);
      for (const index of stored.done) told.set(index, { done: true });
      for (const [index, placed] of stored.placed) told.set(index, { done: false, placed });
      for (const [index, attemptNumber] of stored.usedAttempts)
        told.set(index, { done: false, attemptNumber });
    }
    this.storedProgress = [];
    for (const [index, { done, placed, attemptNumber }] of told) {
      const task = this.task(index);
      if (done) {
        task.phase = 'done';
        this.doneCount++;
      } else if (placed) {
        task.phase = 'placed';
        task.attemptNumber = placed.attemptNumber;
        task.machine = placed.machine;
        task.isInherited = true;
        this.assignedCount++;
        this.zoneTally.add(null);
      } else if (attemptNumber !== undefined) task.attemptNumber = attemptNumber;
    }
    let top = 0;
    for (const index of this.tasks.keys()) top = Math.max(top, index + 1);
    for (let i = 0; i < top; i++) {
      const task = this.tasks.get(i as TaskIndex);
      if (!task || task.phase === 'waiting') this.again.push(i as TaskIndex);
    }
    this.fresh = top;
  }

  /**
   * Progress goes on in chunks of this size. What is durable stays where it is until its part changes;
   * what is not is written anew, and takes precedence over whatever of the old size still arrives late.
   */
  resizeChunks(size: number, now: MonotonicTime): void {
    if (size >= this.chunkTasks || this.spec.taskCount <= size) return;
    const before = [...this.chunks.values()];
    this.chunks.clear();
    this.chunkTasks = size;
    for (const old of before) {
      const parts = new Set<ProgressChunk>();
      for (const task of old.tasks.values()) {
        const part = this.chunkOf(task.index);
        part.tasks.set(task.index, task);
        if (old.committing.has(task)) part.committing.add(task);
        parts.add(part);
      }
      if (old.isDirty) for (const part of parts) part.markDirty(now);
      this.store?.dirtyChunks.delete(old);
      old.supersededBy([...parts]);
      if (old.revision > 0) this.supersededKeys.push(old.key);
    }
  }

  *assignedTasks(): Generator<Task> {
    for (const task of this.tasks.values()) if (task.isAssigned) yield task;
  }
}
