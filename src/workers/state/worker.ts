import type {
  AgentIncarnation,
  AttemptNumber,
  Epoch,
  FencingToken,
  ImageId,
  JobId,
  MachineId,
  MemberId,
  TaskId,
} from '../../model/ids.js';
import type { FreeCapacity, Resources } from '../../model/job.js';
import type { MachineType } from '../../model/machine.js';
import type { ConfirmedFacts, MachineFacts, UnconfirmedFacts } from '../../model/machine-facts.js';
import type { Attempt, Heartbeat } from '../../model/heartbeat.js';
import type { MonotonicTime } from '../../model/time.js';
import type { DurableProgress, Task } from '../../scheduler/task.js';
import { FailureQuarantine } from './failure-quarantine.js';
import { HeartbeatCursor } from './heartbeat-cursor.js';
import { ImageCache } from './image-cache.js';
import { CommandCallState } from './command-call-state.js';
import { ProbeState } from './probe-state.js';
import { WorkerCapacity } from './worker-capacity.js';
import { WorkerContact } from './worker-contact.js';
import { WorkerFence } from './worker-fence.js';
import { WorkerLease } from './worker-lease.js';

const NO_RESOURCES: Resources = { cpus: 0, gpus: 0, memoryGb: 0 };

/** An ended attempt that the worker still lists in its heartbeats. */
export interface EndedAttempt {
  readonly task: TaskId;
  readonly attemptNumber: AttemptNumber;
  /** The chunk whose `version` must be durable before the attempt's outcome is; null if nothing needs to be written. */
  readonly chunk: DurableProgress | null;
  readonly version: number;
  /** The highest token of a start command that may still arrive; null if only start commands of earlier epochs may. */
  readonly startSentToken: FencingToken | null;
}

/** The reason why no tasks are placed on a machine. */
export type CordonReason = 'failing' | 'draining' | 'scaling in' | 'unresponsive';

/** A machine that may exist, the agent on the machine, and the tasks that may run there. */
export class Worker {
  /** The address at which the agent accepts direct calls; empty while unknown. */
  address = '';
  /** Whether the worker has sent a heartbeat in this epoch. */
  hasReported = false;
  isUp = false;
  readonly contact = new WorkerContact();
  readonly lease = new WorkerLease();
  readonly heartbeats = new HeartbeatCursor();
  readonly fence = new WorkerFence();
  readonly images = new ImageCache();
  readonly commandCall = new CommandCallState();
  readonly probes = new ProbeState();
  /** The time at which the cloud reclaims the machine, according to an interruption notice; null without a notice. */
  interruptionAt: MonotonicTime | null = null;
  /**
   * The reason why the machine is cordoned; null: not cordoned, though other conditions may still prevent placement.
   */
  cordon: CordonReason | null = null;
  readonly endedAttempts = new Map<string, EndedAttempt>();
  /** Unexited attempts in the last heartbeat without an assigned task; with a valid leader lease, each gets a stop. */
  unassignedAttempts: Attempt[] = [];
  idleSince: MonotonicTime | null = null;
  /**
   * The number of task failures that count against the machine (`TaskFailurePolicy`) since a task last succeeded on it.
   */
  taskFailureCount = 0;
  /** The jobs of which a task has failed on the machine since a task last succeeded on it. */
  readonly failedJobs = new Set<JobId>();
  /** Whether the machine gets trial tasks only, because tasks have failed on it. */
  readonly quarantine = new FailureQuarantine();
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

  /** The facts that placement may use; null if the facts are not confirmed yet. */
  get confirmedFacts(): ConfirmedFacts | null {
    return this.knownFacts.state === 'confirmed' ? this.knownFacts : null;
  }

  /** The facts that capacity planning may use, confirmed or not; null if nothing is known of the machine. */
  get presumedFacts(): ConfirmedFacts | UnconfirmedFacts | null {
    return this.knownFacts.state === 'unknown' ? null : this.knownFacts;
  }

  get type(): MachineType | null {
    return this.presumedFacts?.type ?? null;
  }

  /** Sets the facts of the machine that the cloud, the worker or a leader's record has confirmed. */
  setConfirmedFacts(facts: ConfirmedFacts): void {
    this.knownFacts = facts;
    this.capacity.setTotal(facts.type);
    for (const task of this.tasks) task.job.setTaskZone(task, facts.machine.zone);
  }

  /** Tasks that may be on the machine. */
  get tasks(): ReadonlySet<Task> {
    return this.capacity.tasks;
  }

  assign(task: Task): void {
    this.capacity.add(task);
    task.job.setTaskZone(task, this.confirmedFacts?.machine.zone ?? null);
  }

  unassign(task: Task): void {
    this.capacity.remove(task);
  }

  get free(): Readonly<FreeCapacity> {
    return this.capacity.free;
  }

  /** Whether every task that was assigned to the machine has ended or is proven gone. */
  get isEmpty(): boolean {
    return this.tasks.size === 0;
  }

  get hasReplicas(): boolean {
    for (const task of this.tasks) if (task.job.spec.kind === 'service') return true;
    return false;
  }

  /** Returns the current fencing token of commands to the worker. */
  fencingToken(epoch: Epoch): FencingToken {
    return this.fence.token(epoch);
  }

  /**
   * Raises the fencing token, so that the worker refuses all commands sent earlier once the next answer reaches it.
   * Returns false if the token is at its maximum.
   */
  raiseFence(): boolean {
    return this.fence.raise();
  }

  /** The incarnation that commands are addressed to. */
  get incarnation(): AgentIncarnation {
    return this.heartbeats.incarnation;
  }

  /** Records the first report of an incarnation of the agent. */
  beginIncarnation(incarnation: AgentIncarnation, now: MonotonicTime): void {
    this.heartbeats.beginIncarnation(incarnation);
    this.lease.recordIncarnation(now);
  }

  /**
   * Reads the incarnation to address from a heartbeat of an earlier epoch, which proves nothing else, if the worker has
   * not reported in this epoch. Returns whether the incarnation is higher than the assumed one and was adopted.
   */
  learnIncarnation(heartbeat: Heartbeat, now: MonotonicTime): boolean {
    if (this.hasReported || heartbeat.incarnation <= this.incarnation) return false;
    this.beginIncarnation(heartbeat.incarnation, now);
    return true;
  }

  /** Whether the heartbeat was sent after every processed heartbeat. */
  isNewer(heartbeat: Heartbeat): boolean {
    return this.heartbeats.isNewer(heartbeat);
  }

  /** Detects from a new heartbeat, received by the controller `receivedBy`, whether the last answer was delivered. */
  recordHeartbeat(heartbeat: Heartbeat, receivedBy: MemberId, now: MonotonicTime): void {
    this.contact.detectAnswerDelivery(heartbeat, receivedBy, now);
  }

  /**
   * Records an answer to a heartbeat through the controller `receivedBy`; the worker's lease may start at this time.
   */
  recordAnswer(heartbeat: Heartbeat, receivedBy: MemberId, now: MonotonicTime): void {
    this.lease.recordAnswer(now);
    this.contact.recordAnswer(heartbeat, receivedBy);
  }

  /** Whether the last direct call failed, and nothing has shown since then that answers reach the worker. */
  get isUnreachable(): boolean {
    return this.contact.isUnreachable;
  }

  /**
   * Records a task that has succeeded on the machine, so that earlier failures no longer count against it. A task that
   * was already running when others began to fail shows nothing.
   */
  recordTaskSuccess(task: Task, now: MonotonicTime): void {
    if (this.quarantine.isActive(now) && !this.quarantine.isTrial(task)) return;
    this.taskFailureCount = 0;
    this.failedJobs.clear();
  }

  /** Records a use of the image by the machine, which has the image cached afterwards. */
  cacheImage(image: ImageId, sizeGb: number): void {
    this.images.use(image, sizeGb, this.type?.cacheGb ?? 0);
  }
}
