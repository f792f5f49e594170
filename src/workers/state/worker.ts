import {
  type HeartbeatSequence,
  type Epoch,
  type MachineId,
  type ImageId,
  type JobId,
  MAX_FENCE_GENERATION,
  type MemberId,
  type FenceGeneration,
  type TaskId,
  type AgentIncarnation,
  type FencingToken,
  fencingTokenOf,
  type AttemptNumber,
} from '../../model/ids.js';
import { type Resources, type FreeCapacity, allocate } from '../../model/job.js';
import type { MachineType } from '../../model/machine.js';
import type { ConfirmedFacts, MachineFacts, UnconfirmedFacts } from '../../model/machine-facts.js';
import type { Attempt, Heartbeat } from '../../model/heartbeat.js';
import { type MonotonicTime, plus } from '../../model/time.js';
import type { DurableProgress, Task } from '../../scheduler/task.js';

const NO_RESOURCES: Resources = { cpus: 0, gpus: 0, memoryGb: 0 };

/** An attempt that has ended and that the host still shows. */
export interface EndedAttempt {
  readonly task: TaskId;
  readonly attemptNumber: AttemptNumber;
  /** The outcome is durable once this chunk has reached `version`; null: nothing waits to be written. */
  readonly chunk: DurableProgress | null;
  readonly version: number;
  /** A run order with this token, or a copy of it, may still arrive; null: only with earlier epochs' ones. */
  readonly startSentToken: FencingToken | null;
}

/** Why nothing more is placed on a machine. */
export type CordonReason = 'failing' | 'draining' | 'scaling in' | 'unresponsive';

/** A machine that may exist, with the tasks that may be on it. */
export class Worker {
  address = '';
  /** Heard under our epoch. */
  hasReported = false;
  isUp = false;
  /** Most machines are in their first session: the first direct call then hits. */
  incarnation = 1 as AgentIncarnation;
  sequence = 0 as HeartbeatSequence;
  lastHeartbeatAt: MonotonicTime | null = null;
  /** When we first heard it under our epoch. */
  firstHeartbeatAt: MonotonicTime | null = null;
  /** When the host last showed that something of ours had reached it. */
  lastContactAt: MonotonicTime | null = null;
  /** The last report that we answered, and the controller that it came through. */
  private answeredReport: { readonly via: MemberId; readonly counter: HeartbeatSequence } | null = null;
  /** When we last answered a report of this host: its lease may run from then. */
  lastAnsweredAt: MonotonicTime | null = null;
  /** When we first heard of its present session, which began before: its lease may run from then, too. */
  private incarnationSeenAt: MonotonicTime | null = null;
  /** When the cloud takes the machine, by its notice. */
  interruptionAt: MonotonicTime | null = null;
  /** Nothing more is placed here. */
  cordon: CordonReason | null = null;
  private readonly assignedTasks = new Set<Task>();
  /** What is left of the machine; null: to be reckoned again. */
  private freeCapacity: FreeCapacity | null = null;
  readonly endedAttempts = new Map<string, EndedAttempt>();
  /** Attempts shown that nobody wants: killed at every chance. */
  unwantedAttempts: Attempt[] = [];
  /** Cached images, oldest use first. */
  readonly images = new Map<ImageId, number>();
  idleSince: MonotonicTime | null = null;
  /** Jobs whose tasks failed here since the last success. */
  readonly failedJobs = new Set<JobId>();
  failures = 0;
  failedProbes = 0;
  isProbing = false;
  isRemoving = false;
  /** The cloud's list shows it as running. */
  isListedRunning = false;
  /** Raised when run orders have to lose their force; see `clearsFor`. */
  private fenceGeneration = 0 as FenceGeneration;
  /** Something that we count as being here can only be proven gone under a higher token. */
  needsHigherToken = false;
  commandInFlight = false;
  commandWanted = false;
  /** Direct calls that brought no answer in a row: orders then wait for reports. */
  failedCalls = 0;
  /** The last of them. */
  lastCallFailedAt: MonotonicTime | null = null;

  constructor(
    readonly id: MachineId,
    private knownFacts: MachineFacts,
    readonly rentedAt: MonotonicTime,
  ) {}

  get facts(): MachineFacts {
    return this.knownFacts;
  }

  /** What placement may rest on; null: nothing yet. */
  get confirmedFacts(): ConfirmedFacts | null {
    return this.knownFacts.state === 'confirmed' ? this.knownFacts : null;
  }

  /** What planning may rest on, confirmed or not. */
  get presumedFacts(): ConfirmedFacts | UnconfirmedFacts | null {
    return this.knownFacts.state === 'unknown' ? null : this.knownFacts;
  }

  get type(): MachineType | null {
    return this.presumedFacts?.type ?? null;
  }

  /** Somebody who knows has told what the machine is. */
  learn(facts: ConfirmedFacts): void {
    this.knownFacts = facts;
    this.freeCapacity = null;
    for (const task of this.assignedTasks) task.job.setTaskZone(task, facts.machine.zone);
  }

  /** Tasks that may be on the machine. */
  get tasks(): ReadonlySet<Task> {
    return this.assignedTasks;
  }

  assign(task: Task): void {
    this.assignedTasks.add(task);
    task.job.setTaskZone(task, this.confirmedFacts?.machine.zone ?? null);
    this.freeCapacity = null;
  }

  unassign(task: Task): void {
    this.assignedTasks.delete(task);
    this.freeCapacity = null;
  }

  get free(): Readonly<FreeCapacity> {
    if (this.freeCapacity) return this.freeCapacity;
    const { cpus, gpus, memoryGb } = this.type ?? NO_RESOURCES;
    const free = { cpus, gpus, memoryGb };
    for (const task of this.assignedTasks) allocate(free, task.job.spec);
    this.freeCapacity = free;
    return free;
  }

  /** What orders to this host carry. */
  fencingToken(epoch: Epoch): FencingToken {
    return fencingTokenOf(epoch, this.fenceGeneration);
  }

  /** From the next answer on the worker refuses every order that left before. */
  raiseFence(): boolean {
    if (this.fenceGeneration >= MAX_FENCE_GENERATION) return false;
    this.fenceGeneration = (this.fenceGeneration + 1) as FenceGeneration;
    this.needsHigherToken = false;
    return true;
  }

  /**
   * A report that proves nothing yet, being of an earlier epoch, still tells the session to address.
   * True: it is another one than we thought.
   */
  learnIncarnation(heartbeat: Heartbeat, now: MonotonicTime): boolean {
    if (this.hasReported || heartbeat.incarnation <= this.incarnation) return false;
    this.beginIncarnation(heartbeat.incarnation, now);
    return true;
  }

  /**
   * A worker that got our answer stays with its controller, one that did not tries another. So a
   * report that follows the last one through the same controller, with no message between them,
   * shows that its answer arrived. Reports alone show nothing: a machine may be heard and not reached.
   */
  recordHeartbeat(heartbeat: Heartbeat, via: MemberId, now: MonotonicTime): void {
    const before = this.answeredReport;
    if (before && before.via === via && heartbeat.sequence === before.counter + 1) this.lastContactAt = now;
  }

  recordAnswer(heartbeat: Heartbeat, via: MemberId, now: MonotonicTime): void {
    this.lastAnsweredAt = now;
    this.answeredReport = { via, counter: heartbeat.sequence };
  }

  /** Direct calls fail, and no report has shown since that our answers arrive. */
  get isUnreachable(): boolean {
    return (
      this.failedCalls > 0 &&
      (this.lastContactAt === null || this.lastContactAt < (this.lastCallFailedAt ?? 0))
    );
  }

  isNewer(heartbeat: Heartbeat): boolean {
    return (
      heartbeat.incarnation > this.incarnation ||
      (heartbeat.incarnation === this.incarnation && heartbeat.sequence > this.sequence)
    );
  }

  cacheImage(image: ImageId, gb: number): void {
    this.images.delete(image);
    this.images.set(image, gb);
    let total = 0;
    for (const size of this.images.values()) total += size;
    for (const [old, size] of this.images) {
      if (total <= (this.type?.cacheGb ?? 0) || old === image) break;
      this.images.delete(old);
      total -= size;
    }
  }

  /** Whether the machine may hold a task that has not been proven gone. */
  get isEmpty(): boolean {
    return this.assignedTasks.size === 0;
  }

  get hasReplicas(): boolean {
    for (const task of this.assignedTasks) if (task.job.spec.kind === 'service') return true;
    return false;
  }

  /** A session that we hear of for the first time. */
  beginIncarnation(session: AgentIncarnation, now: MonotonicTime): void {
    this.incarnation = session;
    this.incarnationSeenAt = now;
  }

  /**
   * Until then the worker may keep what it runs. A machine that reaches no controller goes through its sessions
   * unanswered, and runs what direct orders bring it in each.
   */
  leaseExpiry(start: MonotonicTime, lease: number): MonotonicTime {
    const from = Math.max(
      start,
      this.lastAnsweredAt ?? start,
      this.incarnationSeenAt ?? start,
    ) as MonotonicTime;
    return plus(from, lease);
  }
}
