import type {
  AgentIncarnation,
  AttemptNumber,
  Epoch,
  FencingToken,
  ImageId,
  MachineId,
  MemberId,
  TaskId,
} from '../../model/ids.js';
import type { FreeCapacity, Resources } from '../../model/job.js';
import type { MachineType } from '../../model/machine.js';
import type { ConfirmedFacts, MachineFacts, UnconfirmedFacts } from '../../model/machine-facts.js';
import type { Attempt, Heartbeat } from '../../model/heartbeat.js';
import type { MonotonicTime } from '../../model/time.js';
import type { Chunk } from '../../scheduler/chunk.js';
import type { Task } from '../../scheduler/task.js';
import { HeartbeatCursor } from './heartbeat-cursor.js';
import { ImageCache } from './image-cache.js';
import { PendingCommands } from './pending-commands.js';
import { ProbeState } from './probe-state.js';
import { WorkerCapacity } from './worker-capacity.js';
import { WorkerContact } from './worker-contact.js';
import { WorkerFence } from './worker-fence.js';
import { WorkerLease } from './worker-lease.js';

const NO_RESOURCES: Resources = { cpus: 0, gpus: 0, memoryGb: 0 };

/** An attempt that has ended and that the worker still lists in its heartbeats. */
export interface EndedAttempt {
  readonly task: TaskId;
  readonly attemptNumber: AttemptNumber;
  /** The outcome is durable once this chunk has reached `version`; null: nothing is left to be written. */
  readonly chunk: Chunk | null;
  readonly version: number;
  /** A start command with this token, or a copy of it, may still arrive; null: only with earlier epochs' ones. */
  readonly startSentToken: FencingToken | null;
}

/** Why nothing more is placed on a machine. */
export type CordonReason = 'failing' | 'draining' | 'scaling in' | 'unresponsive';

/** A machine that may exist, the agent on it, and the tasks that may be there. */
export class Worker {
  /** Where the agent takes direct commands; empty: not known yet. */
  address = '';
  /** Whether it was heard from under our epoch. */
  hasReported = false;
  isUp = false;
  readonly contact = new WorkerContact();
  readonly lease = new WorkerLease();
  readonly heartbeats = new HeartbeatCursor();
  readonly fence = new WorkerFence();
  readonly images = new ImageCache();
  readonly pendingCommands = new PendingCommands();
  readonly probes = new ProbeState();
  /** When the cloud reclaims the machine, by its interruption notice. */
  interruptionAt: MonotonicTime | null = null;
  /** Nothing more is placed here while this is set. */
  cordon: CordonReason | null = null;
  readonly endedAttempts = new Map<string, EndedAttempt>();
  /** Attempts in the last heartbeat that belong to no assigned task: each set of commands stops them. */
  unwantedAttempts: Attempt[] = [];
  idleSince: MonotonicTime | null = null;
  /** Tasks that failed here since the last success. */
  failures = 0;
  isRemoving = false;
  /** Whether the cloud's list shows the machine as running. */
  isListedRunning = false;
  private readonly capacity: WorkerCapacity;

  constructor(
    readonly id: MachineId,
    private knownFacts: MachineFacts,
    readonly rentedAt: MonotonicTime,
  ) {
    this.capacity = new WorkerCapacity(this.type ?? NO_RESOURCES);
  }

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

  /** Takes over what the cloud, the worker or a leader's record has confirmed of the machine. */
  learn(facts: ConfirmedFacts): void {
    this.knownFacts = facts;
    this.capacity.setTotal(facts.type);
    for (const task of this.tasks) task.job.locate(task, facts.machine.zone);
  }

  /** Tasks that may be on the machine. */
  get tasks(): ReadonlySet<Task> {
    return this.capacity.tasks;
  }

  assign(task: Task): void {
    this.capacity.add(task);
    task.job.locate(task, this.confirmedFacts?.machine.zone ?? null);
  }

  unassign(task: Task): void {
    this.capacity.remove(task);
  }

  get free(): Readonly<FreeCapacity> {
    return this.capacity.free;
  }

  /** Whether the machine holds no task that has not been proven gone. */
  get isEmpty(): boolean {
    return this.tasks.size === 0;
  }

  get hasReplicas(): boolean {
    for (const task of this.tasks) if (task.job.spec.kind === 'service') return true;
    return false;
  }

  /** The token that commands to this worker carry. */
  fencingToken(epoch: Epoch): FencingToken {
    return this.fence.token(epoch);
  }

  /** Makes the worker refuse every command that left before. False: the token is at its maximum. */
  raiseFence(): boolean {
    return this.fence.raise();
  }

  /** The incarnation that commands are addressed to. */
  get incarnation(): AgentIncarnation {
    return this.heartbeats.incarnation;
  }

  /** An incarnation of the agent is heard of for the first time. */
  beginIncarnation(incarnation: AgentIncarnation, now: MonotonicTime): void {
    this.heartbeats.beginIncarnation(incarnation);
    this.lease.recordIncarnation(now);
  }

  /**
   * Learns the incarnation to address from a heartbeat of an earlier epoch, which proves nothing else yet.
   * Returns whether it is another one than was assumed.
   */
  learnIncarnation(heartbeat: Heartbeat, now: MonotonicTime): boolean {
    if (this.hasReported || heartbeat.incarnation <= this.incarnation) return false;
    this.beginIncarnation(heartbeat.incarnation, now);
    return true;
  }

  /** Whether the heartbeat was sent after all that were taken in. */
  isNewer(heartbeat: Heartbeat): boolean {
    return this.heartbeats.isBefore(heartbeat);
  }

  /** Takes in which controller a new heartbeat came through: it may show that our last answer has arrived. */
  recordHeartbeat(heartbeat: Heartbeat, via: MemberId, now: MonotonicTime): void {
    this.contact.recognizeDeliveredAnswer(heartbeat, via, now);
  }

  /** A heartbeat is answered through `via`: the worker's lease may run from now. */
  recordAnswer(heartbeat: Heartbeat, via: MemberId, now: MonotonicTime): void {
    this.lease.recordAnswer(now);
    this.contact.recordAnswer(heartbeat, via);
  }

  /** Whether direct calls fail, and no heartbeat has shown since that our answers arrive. */
  get isUnreachable(): boolean {
    return this.contact.isUnreachable;
  }

  /** The machine has used the image: it is cached there now. */
  cacheImage(image: ImageId, sizeGb: number): void {
    this.images.use(image, sizeGb, this.type?.cacheGb ?? 0);
  }
}
