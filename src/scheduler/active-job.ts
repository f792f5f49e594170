/** An unfinished job as its leader knows it: its tasks, its progress, what it waits for. */
import type { HostId, JobId, Revision, TaskIndex, TryNo, ZoneId } from '../model/ids.js';
import type { JobSpec, Priority } from '../model/job.js';
import type { Steady, WallTime } from '../model/time.js';
import { CHUNK_TASKS, keys } from '../store/keys.js';
import { decodeChunk, type Placement } from '../store/progress-record.js';
import { Chunk } from './chunk.js';
import type { JobStore } from './job-store.js';
import { Task } from './task.js';
import { ZoneTally } from './zone-tally.js';

/** Tasks that were never begun exist as a number only: a hundred thousand of them cost nothing. */
export class OpenJob {
  readonly tasks = new Map<TaskIndex, Task>();
  readonly chunks = new Map<number, Chunk>();
  private fresh = 0;
  private readonly again: TaskIndex[] = [];
  /** The store that lists this job; it is told of every change. */
  store: JobStore | null = null;
  cancelled = false;
  done = 0;
  heldCount = 0;
  /** Where the tasks are that may be on machines. */
  readonly zones = new ZoneTally();
  /** Tasks that were last shown running. */
  running = 0;
  /** When one of its tasks was last given a machine. */
  servedAt: Steady | null = null;
  /** Hosts on which this job's tasks failed, and until when it waits after failing on several. */
  readonly failedOn = new Set<HostId>();
  /** When its tasks ran, for the log. */
  firstRunAt: Steady | null = null;
  lastRunAt: Steady | null = null;
  lost = 0;
  failures = 0;
  notBefore: Steady | null = null;

  /** Jobs that are not known to be done yet and that have to be. */
  readonly waitsFor = new Set<JobId>();
  /** Its list of dependencies has further records that are not read yet. */
  unread = false;
  /** From when its times count, deadlines aside: its acceptance, or when the last job that it needs was done. */
  readyAt: WallTime;
  /** Cancelled with a job that it needs; its own record is still to say so. */
  doomed = false;
  /** The best priority of all that need it, and the latest end that leaves them theirs. */
  lifted: { readonly priority: Priority; readonly latestEnd: WallTime | null };
  private rankedSpec: JobSpec | null = null;
  /** Progress as found, chunks of all sizes; applied by `settle`. */
  private found: { chunk: number; size: number; value: unknown; revision: Revision }[] = [];
  /** Records of progress that others have taken the place of. */
  readonly superseded: string[] = [];

  constructor(
    readonly spec: JobSpec,
    readonly revision: Revision,
    readonly acceptedAt: WallTime,
    private chunkTasks = CHUNK_TASKS,
  ) {
    this.readyAt = acceptedAt;
    this.lifted = { priority: spec.priority, latestEnd: this.ownEnd };
  }

  /** When it should be complete by its own deadline, which counts from its submission. */
  get ownEnd(): WallTime | null {
    const { deadlineS } = this.spec;
    return deadlineS === null ? null : ((this.acceptedAt + deadlineS * 1000) as WallTime);
  }

  /** Nothing of it may start yet. */
  get blocked(): boolean {
    return this.waitsFor.size > 0 || this.unread;
  }

  lift(priority: Priority, latestEnd: WallTime | null): void {
    this.lifted = { priority, latestEnd };
    this.rankedSpec = null;
  }

  ready(now: WallTime): void {
    this.readyAt = now;
    this.rankedSpec = null;
  }

  /** As placement and renting see it: with the priority and the deadline of all that need it. */
  get ranked(): JobSpec {
    const { priority, latestEnd } = this.lifted;
    this.rankedSpec ??=
      priority === this.spec.priority && latestEnd === this.ownEnd && this.readyAt === this.acceptedAt
        ? this.spec
        : {
            ...this.spec,
            priority,
            deadlineS: latestEnd === null ? null : (latestEnd - this.readyAt) / 1000,
          };
    return this.rankedSpec;
  }

  get waiting(): number {
    return this.cancelled ? 0 : this.again.length + (this.spec.tasks - this.fresh);
  }

  /** Nothing of it is left to be done: its records can be closed. */
  get over(): boolean {
    return this.cancelled ? this.heldCount === 0 : this.complete;
  }

  get complete(): boolean {
    return this.spec.kind === 'array' && this.done === this.spec.tasks;
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

  chunkOf(index: TaskIndex): Chunk {
    const n = Math.floor(index / this.chunkTasks);
    let chunk = this.chunks.get(n);
    if (!chunk) {
      chunk = new Chunk(this, n, this.chunkTasks);
      this.chunks.set(n, chunk);
    }
    return chunk;
  }

  /** Takes the next waiting task for a host; its try is a new one. */
  decide(host: HostId, zone: ZoneId, now: Steady): Task {
    const index = this.again.length > 0 ? (this.again.shift() as TaskIndex) : (this.fresh++ as TaskIndex);
    const task = this.task(index);
    task.phase = 'deciding';
    task.tryNo = (task.tryNo + 1) as TryNo;
    task.host = host;
    task.zone = zone;
    this.zones.add(zone);
    task.placedAt = now;
    this.resetAttempt(task);
    this.heldCount++;
    this.servedAt = now;
    const chunk = this.chunkOf(index);
    chunk.deciding.add(task);
    chunk.touch(now);
    return task;
  }

  private resetAttempt(task: Task): void {
    task.shown = null;
    task.runningAt = null;
    task.sentSession = null;
    task.sentToken = null;
    task.inherited = false;
    task.kill = null;
  }

  /** What is known now of the zone of a task's machine; null: nothing. */
  locate(task: Task, zone: ZoneId | null): void {
    if (!task.held || task.zone === zone) return;
    this.zones.remove(task.zone);
    this.zones.add(zone);
    task.zone = zone;
  }

  /** The start is durable: run orders may leave. */
  placed(task: Task): void {
    task.phase = 'placed';
    this.chunkOf(task.index).deciding.delete(task);
  }

  /** The attempt is proven gone without success. */
  release(task: Task, now: Steady): void {
    if (!task.held) return;
    const chunk = this.chunkOf(task.index);
    chunk.deciding.delete(task);
    task.phase = 'waiting';
    task.host = null;
    this.zones.remove(task.zone);
    task.zone = null;
    this.resetAttempt(task);
    this.heldCount--;
    this.lost++;
    this.again.push(task.index);
    chunk.touch(now);
    this.store?.changed(this);
  }

  finish(task: Task, now: Steady): void {
    if (task.held) {
      this.heldCount--;
      this.zones.remove(task.zone);
    }
    const chunk = this.chunkOf(task.index);
    chunk.deciding.delete(task);
    task.phase = 'done';
    task.host = null;
    task.zone = null;
    task.shown = null;
    this.done++;
    chunk.touch(now);
    this.store?.changed(this);
  }

  /** Takes over what an earlier leader wrote. */
  restore(chunk: number, size: number, value: unknown, revision: Revision): void {
    this.found.push({ chunk, size, value, revision });
  }

  /**
   * After all records of progress were given: what they say, and what waits. Smaller chunks were made of
   * larger ones and list every task that was ever begun: they are read last, and what they say counts.
   */
  settle(): void {
    const told = new Map<TaskIndex, { done: boolean; placed?: Placement; tryNo?: TryNo }>();
    for (const { chunk, size, value, revision } of this.found.sort((a, b) => b.size - a.size)) {
      const first = chunk * size;
      if (size === this.chunkTasks) this.chunkOf(first as TaskIndex).revision = revision;
      else this.superseded.push(keys.openChunk(this.spec.id, chunk, size));
      const stored = decodeChunk(value);
      for (const index of stored.done) told.set(index, { done: true });
      for (const [index, placed] of stored.placed) told.set(index, { done: false, placed });
      for (const [index, tryNo] of stored.used) told.set(index, { done: false, tryNo });
    }
    this.found = [];
    for (const [index, { done, placed, tryNo }] of told) {
      const task = this.task(index);
      if (done) {
        task.phase = 'done';
        this.done++;
      } else if (placed) {
        task.phase = 'placed';
        task.tryNo = placed.tryNo;
        task.host = placed.host;
        task.inherited = true;
        this.heldCount++;
        this.zones.add(null);
      } else if (tryNo !== undefined) task.tryNo = tryNo;
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
  rechunk(size: number, now: Steady): void {
    if (size >= this.chunkTasks || this.spec.tasks <= size) return;
    const before = [...this.chunks.values()];
    this.chunks.clear();
    this.chunkTasks = size;
    for (const old of before) {
      const parts = new Set<Chunk>();
      for (const task of old.tasks.values()) {
        const part = this.chunkOf(task.index);
        part.tasks.set(task.index, task);
        if (old.deciding.has(task)) part.deciding.add(task);
        parts.add(part);
      }
      if (old.dirty) for (const part of parts) part.touch(now);
      this.store?.dirty.delete(old);
      old.replacedBy([...parts]);
      if (old.revision > 0) this.superseded.push(old.key);
    }
  }

  *held(): Generator<Task> {
    for (const task of this.tasks.values()) if (task.held) yield task;
  }
}
