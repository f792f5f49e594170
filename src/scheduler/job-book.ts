import type {
  HostId,
  JobId,
  Stamp,
  TaskId,
  TaskIndex,
  TeamId,
  Tenure,
  Token,
  TryNo,
  ZoneId,
} from '../model/ids.js';
import { NO_STAMP, taskId } from '../model/ids.js';
import type { FinalState, JobSpec, Priority } from '../model/job.js';
import type { AttemptState } from '../model/report.js';
import type { Steady, WallTime } from '../model/time.js';
import { CHUNK_TASKS, keys } from '../store/keys.js';
import { type ChunkProgress, decodeChunk, type Placement } from '../store/progress-record.js';

/**
 * `deciding`: chosen, not yet committed: no order has left. `placed`: committed; it may be on its
 * host until proven gone. Both count for quota, placement and room.
 */
export type TaskPhase = 'waiting' | 'deciding' | 'placed' | 'done';

export interface Kill {
  readonly graceS: number;
  readonly why: 'cancelled' | 'room' | 'drain';
  readonly at: Steady;
}

export class Task {
  phase: TaskPhase = 'waiting';
  tryNo = 0 as TryNo;
  host: HostId | null = null;
  zone: ZoneId | null = null;
  private lastShown: AttemptState | null = null;
  runningAt: Steady | null = null;
  placedAt: Steady | null = null;
  /** The host's tenure when a run order first left; null: none has left under our epoch. */
  sentTenure: Tenure | null = null;
  /** The token that a run order last left with; null: none has left under our epoch. */
  sentToken: Token | null = null;
  /** Placed by an earlier epoch: gone once a report under ours lacks it. */
  inherited = false;
  kill: Kill | null = null;
  /** Given its machine because its job had waited for too long. */
  sheltered = false;

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

export class Chunk {
  stamp: Stamp = NO_STAMP;
  /** Raised by each change; the change is durable once `durable` has caught up. */
  version = 0;
  durable = 0;
  dirtySince: Steady | null = null;
  /** Tasks whose start is being decided. */
  readonly deciding = new Set<Task>();
  readonly tasks = new Map<TaskIndex, Task>();

  /** The chunks of another size that took its place, each with the version that holds all this one held. */
  private successors: { readonly chunk: Chunk; readonly version: number }[] | null = null;

  constructor(
    readonly job: OpenJob,
    readonly index: number,
    readonly size: number,
  ) {}

  get key(): string {
    return keys.openChunk(this.job.spec.id, this.index, this.size);
  }

  get dirty(): boolean {
    return this.version > this.durable;
  }

  /** Whether what it held at this version is in the state service. */
  holds(version: number): boolean {
    if (this.durable >= version) return true;
    return this.successors?.every(({ chunk, version: v }) => chunk.holds(v)) ?? false;
  }

  replacedBy(chunks: readonly Chunk[]): void {
    this.successors = chunks.map((chunk) => ({ chunk, version: chunk.version }));
  }

  touch(now: Steady): void {
    this.version++;
    this.dirtySince ??= now;
    this.job.book?.dirty.add(this);
  }

  /** The progress to be written; decisions being made count as placed. */
  progress(): ChunkProgress {
    const done = new Set<TaskIndex>();
    const placed = new Map<TaskIndex, Placement>();
    const used = new Map<TaskIndex, TryNo>();
    for (const task of this.tasks.values()) {
      if (task.phase === 'done') done.add(task.index);
      else if (task.held && task.host) placed.set(task.index, { tryNo: task.tryNo, host: task.host });
      else if (task.tryNo > 0) used.set(task.index, task.tryNo);
    }
    return { done, placed, used };
  }
}

export class OpenJob {
  readonly tasks = new Map<TaskIndex, Task>();
  readonly chunks = new Map<number, Chunk>();
  private fresh = 0;
  private readonly again: TaskIndex[] = [];
  /** The book that lists this job; it is told of every change. */
  book: JobBook | null = null;
  cancelled = false;
  done = 0;
  heldCount = 0;
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
  private found: { chunk: number; size: number; value: unknown; stamp: Stamp }[] = [];
  /** Records of progress that others have taken the place of. */
  readonly superseded: string[] = [];

  constructor(
    readonly spec: JobSpec,
    readonly stamp: Stamp,
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
    task.sentTenure = null;
    task.sentToken = null;
    task.inherited = false;
    task.kill = null;
    task.sheltered = false;
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
    task.zone = null;
    this.resetAttempt(task);
    this.heldCount--;
    this.lost++;
    this.again.push(task.index);
    chunk.touch(now);
    this.book?.changed(this);
  }

  finish(task: Task, now: Steady): void {
    if (task.held) this.heldCount--;
    const chunk = this.chunkOf(task.index);
    chunk.deciding.delete(task);
    task.phase = 'done';
    task.host = null;
    task.zone = null;
    task.shown = null;
    this.done++;
    chunk.touch(now);
    this.book?.changed(this);
  }

  /** Takes over what an earlier leader wrote. */
  restore(chunk: number, size: number, value: unknown, stamp: Stamp): void {
    this.found.push({ chunk, size, value, stamp });
  }

  /**
   * After all records of progress were given: what they say, and what waits. Smaller chunks were made of
   * larger ones and list every task that was ever begun: they are read last, and what they say counts.
   */
  settle(): void {
    const told = new Map<TaskIndex, { done: boolean; placed?: Placement; tryNo?: TryNo }>();
    for (const { chunk, size, value, stamp } of this.found.sort((a, b) => b.size - a.size)) {
      const first = chunk * size;
      if (size === this.chunkTasks) this.chunkOf(first as TaskIndex).stamp = stamp;
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
      this.book?.dirty.delete(old);
      old.replacedBy([...parts]);
      if (old.stamp > 0) this.superseded.push(old.key);
    }
  }

  *held(): Generator<Task> {
    for (const task of this.tasks.values()) if (task.held) yield task;
  }
}

export interface TeamUse {
  cpus: number;
  gpus: number;
}

/** All unfinished jobs, as the leader knows them. */
export class JobBook {
  readonly jobs = new Map<JobId, OpenJob>();
  /** Jobs that ended while we led: an old event must not open them again. */
  private readonly ended = new Map<JobId, FinalState>();
  /** Chunks with changes that are not durable yet. */
  readonly dirty = new Set<Chunk>();
  /** Raised whenever a job joins or leaves what is unfinished. */
  version = 0;
  /** Jobs whose records wait to be closed. */
  readonly over = new Set<OpenJob>();

  add(job: OpenJob): boolean {
    if (this.jobs.has(job.spec.id) || this.ended.has(job.spec.id)) return false;
    this.jobs.set(job.spec.id, job);
    job.book = this;
    this.version++;
    for (const chunk of job.chunks.values()) if (chunk.dirty) this.dirty.add(chunk);
    this.changed(job);
    return true;
  }

  /** How a job ended while we led. */
  endOf(id: JobId): FinalState | undefined {
    return this.ended.get(id);
  }

  changed(job: OpenJob): void {
    if (!job.over && !job.cancelled) return;
    this.version++;
    if (job.over) this.over.add(job);
  }

  end(id: JobId): void {
    const job = this.jobs.get(id);
    if (job) {
      this.over.delete(job);
      for (const chunk of job.chunks.values()) this.dirty.delete(chunk);
      job.book = null;
    }
    this.version++;
    this.jobs.delete(id);
    this.ended.set(id, job?.cancelled ? 'cancelled' : 'done');
    if (this.ended.size > 20_000) {
      const oldest = this.ended.keys().next().value;
      if (oldest !== undefined) this.ended.delete(oldest);
    }
  }

  teamUse(): Map<TeamId, TeamUse> {
    const use = new Map<TeamId, TeamUse>();
    for (const job of this.jobs.values()) {
      if (job.heldCount === 0) continue;
      const team = use.get(job.spec.team) ?? { cpus: 0, gpus: 0 };
      team.cpus += job.heldCount * job.spec.cpus;
      team.gpus += job.heldCount * job.spec.gpus;
      use.set(job.spec.team, team);
    }
    return use;
  }
}
