/** A fake of the worker agent that runs on each machine. */
import type {
  HeartbeatSequence,
  ImageId,
  JobId,
  TaskId,
  AgentIncarnation,
  FencingToken,
  AttemptNumber,
} from '../../src/model/ids.js';
import { parseTaskId } from '../../src/model/ids.js';
import type { Machine } from '../../src/model/machine.js';
import type { Attempt, AttemptState, WorkerCommand, Heartbeat } from '../../src/model/heartbeat.js';
import type { Clock } from '../../src/model/time.js';
import { address } from './fake-cloud.js';

/** The simulated behavior of a job's tasks. */
export interface JobBehavior {
  readonly image: ImageId;
  /** The time to fetch the image on a machine that has not fetched the image before. */
  readonly fetchMs: number;
  /** The run time of a task; null: a task runs until it is stopped. */
  readonly runMs: number | null;
  /** Whether every attempt of every task fails, 800 ms after it starts to run. */
  readonly alwaysFails: boolean;
}

/** A controller's answer to a heartbeat. */
export interface HeartbeatAnswer {
  readonly status: number;
  readonly token: FencingToken;
  readonly orders: readonly WorkerCommand[];
  /** The controller to which a 421 answer redirects the worker. */
  readonly foreman?: string;
}

/** The environment of a worker: the network to the controllers, the jobs of the site, and callbacks for task events. */
export interface WorkerEnvironment {
  readonly nodes: readonly string[];
  behaviorOf(id: JobId): JobBehavior | undefined;
  onTaskStarted(worker: FakeWorker, task: TaskId, attemptNumber: AttemptNumber): void;
  onTaskEnded(worker: FakeWorker, task: TaskId, cause: string): void;
  /** Sends a heartbeat to a controller; resolves to null if no answer arrives. */
  heartbeat(worker: FakeWorker, node: string, heartbeat: Heartbeat): Promise<HeartbeatAnswer | null>;
}

/** The HTTP status with which a controller redirects a heartbeat to another controller. */
const MISDIRECTED_STATUS = 421;
/** The maximum delay between a redirect and the next heartbeat, before rounding up to the worker's 250 ms tick. */
const REDIRECT_DELAY_MS = 250;

interface LocalAttempt {
  attemptNumber: AttemptNumber;
  state: AttemptState;
  cause: string | null;
}

/** A worker agent that follows the published protocol, with faults that tests switch on. */
export class FakeWorker {
  private incarnation = 1;
  private sequence = 0;
  private token = 0;
  private nodeIndex = 0;
  private leaseRenewedAt: number;
  private readonly attempts = new Map<TaskId, LocalAttempt>();
  private readonly fetchedImages = new Set<ImageId>();
  private isHeartbeatInFlight = false;
  private hasUnreportedChanges = false;
  private lastHeartbeatAt = -Infinity;
  /** Whether the machine hangs: the worker sends no heartbeats, and callbacks for the machine are deferred. */
  isHung = false;
  /** Whether every task that starts to run on this machine from now on fails, 800 ms after it starts. */
  failsTasks = false;
  /** Whether the machine was removed. */
  isTerminated = false;
  /** The interruption notice, in seconds, that the worker's heartbeats report; null: none. */
  interruptionNoticeS: number | null = null;
  /** Callbacks that run once the hanging machine resumes. */
  private readonly deferredCallbacks: (() => void)[] = [];

  constructor(
    readonly machine: Machine,
    private readonly clock: Clock,
    private readonly environment: WorkerEnvironment,
    private readonly leaseMs: number,
    private readonly heartbeatIntervalMs: number,
  ) {
    this.leaseRenewedAt = clock.now();
    this.scheduleTick();
  }

  /** Makes the machine hang until `resume` is called. */
  hang(): void {
    this.isHung = true;
  }

  /**
   * Resumes a hanging machine: the worker first checks whether its lease has expired, then runs the deferred callbacks.
   */
  resume(): void {
    this.isHung = false;
    this.checkLease();
    for (const run of this.deferredCallbacks.splice(0)) run();
  }

  private scheduleTick(): void {
    if (this.isTerminated) return;
    this.clock.after(250, () => {
      if (!this.isHung) {
        this.checkLease();
        const intervalMs = this.hasUnreportedChanges ? 500 : this.heartbeatIntervalMs;
        if (!this.isHeartbeatInFlight && this.clock.now() - this.lastHeartbeatAt >= intervalMs)
          void this.heartbeat();
      }
      this.scheduleTick();
    });
  }

  private checkLease(): void {
    if (this.isTerminated || this.clock.now() - this.leaseRenewedAt <= this.leaseMs) return;
    for (const [task, attempt] of this.attempts)
      if (attempt.state !== 'exited') this.environment.onTaskEnded(this, task, 'lease over');
    this.attempts.clear();
    this.incarnation++;
    this.leaseRenewedAt = this.clock.now();
    this.hasUnreportedChanges = true;
  }

  private snapshot(): Heartbeat {
    this.sequence++;
    const attempts: Attempt[] = [...this.attempts].map(([task, { attemptNumber, state, cause }]) => ({
      task,
      attemptNumber,
      state,
      cause,
    }));
    return {
      machine: this.machine.id,
      address: address(this.machine.id),
      type: this.machine.type,
      zone: this.machine.zone,
      spot: this.machine.spot,
      incarnation: this.incarnation as AgentIncarnation,
      sequence: this.sequence as HeartbeatSequence,
      token: this.token as FencingToken,
      interruptionNotice: this.interruptionNoticeS as Heartbeat['interruptionNotice'],
      attempts,
    };
  }

  private async heartbeat(): Promise<void> {
    this.isHeartbeatInFlight = true;
    this.hasUnreportedChanges = false;
    const sentAt = this.clock.now();
    this.lastHeartbeatAt = sentAt;
    const { incarnation } = this;
    const node = this.environment.nodes[this.nodeIndex % this.environment.nodes.length] as string;
    const answer = await this.environment.heartbeat(this, node, this.snapshot());
    this.isHeartbeatInFlight = false;
    if (this.isTerminated || this.isHung) return;
    const redirectIndex =
      answer?.status === MISDIRECTED_STATUS ? this.environment.nodes.indexOf(answer.foreman ?? '') : -1;
    if (redirectIndex >= 0 && this.environment.nodes[redirectIndex] !== node) {
      this.nodeIndex = redirectIndex;
      this.lastHeartbeatAt = this.clock.now() - this.heartbeatIntervalMs + REDIRECT_DELAY_MS;
      return;
    }
    if (!answer || answer.status !== 200) {
      this.nodeIndex++;
      this.lastHeartbeatAt = this.clock.now() - this.heartbeatIntervalMs + 1000;
      return;
    }
    if (this.clock.now() - sentAt > 4000 || incarnation !== this.incarnation || answer.token < this.token)
      return;
    if (answer.token > this.token) this.hasUnreportedChanges = true;
    this.token = answer.token;
    this.leaseRenewedAt = sentAt;
    this.executeCommands(answer.orders);
  }

  /**
   * Handles POST /commands. Commands with an older fencing token or for another incarnation of the worker are not
   * executed. Callers defer the call with `runWhenResponsive` while the machine hangs.
   */
  handleCommands(
    token: FencingToken,
    incarnation: AgentIncarnation,
    commands: readonly WorkerCommand[],
  ): { executed: boolean; heartbeat: Heartbeat } {
    if (token < this.token || incarnation !== this.incarnation)
      return { executed: false, heartbeat: this.snapshot() };
    if (token > this.token) this.hasUnreportedChanges = true;
    this.token = token;
    this.executeCommands(commands);
    return { executed: true, heartbeat: this.snapshot() };
  }

  /**
   * Runs the callback immediately; on a hanging machine, once the machine resumes. A removed machine that does not hang
   * drops the callback.
   */
  runWhenResponsive(run: () => void): void {
    if (this.isHung) this.deferredCallbacks.push(run);
    else if (!this.isTerminated) run();
  }

  /** Returns the current heartbeat with the next sequence number, which a later heartbeat uses again. */
  peekHeartbeat(): Heartbeat {
    const heartbeat = this.snapshot();
    this.sequence--;
    return heartbeat;
  }

  /** Returns the current heartbeat with a new sequence number. */
  nextHeartbeat(): Heartbeat {
    return this.snapshot();
  }

  private executeCommands(commands: readonly WorkerCommand[]): void {
    for (const command of commands) {
      const attempt = this.attempts.get(command.task);
      if (command.kind === 'start') {
        if (attempt && attempt.attemptNumber === command.attemptNumber) continue;
        if (attempt && attempt.state !== 'exited') continue;
        this.startAttempt(command.task, command.attemptNumber);
      } else if (command.kind === 'stop') {
        if (attempt && attempt.attemptNumber === command.attemptNumber && attempt.state !== 'exited')
          this.exitAttempt(command.task, attempt, 'stopped');
      } else if (attempt && attempt.attemptNumber === command.attemptNumber && attempt.state === 'exited')
        this.attempts.delete(command.task);
    }
  }

  private exitAttempt(task: TaskId, attempt: LocalAttempt, cause: string): void {
    const previousState = attempt.state;
    attempt.state = 'exited';
    attempt.cause = cause;
    this.hasUnreportedChanges = true;
    if (previousState === 'running') this.environment.onTaskEnded(this, task, cause);
  }

  private startAttempt(task: TaskId, attemptNumber: AttemptNumber): void {
    const job = this.environment.behaviorOf(parseTaskId(task)?.job as JobId);
    const attempt: LocalAttempt = { attemptNumber, state: 'fetching', cause: null };
    this.attempts.set(task, attempt);
    this.hasUnreportedChanges = true;
    if (!job) {
      this.exitAttempt(task, attempt, 'no_such');
      return;
    }
    this.clock.after(this.fetchedImages.has(job.image) ? 1 : job.fetchMs, () =>
      this.startRunning(task, attempt, job),
    );
  }

  private startRunning(task: TaskId, attempt: LocalAttempt, job: JobBehavior): void {
    if (this.isTerminated || attempt.state !== 'fetching' || this.attempts.get(task) !== attempt) return;
    this.fetchedImages.add(job.image);
    attempt.state = 'running';
    this.hasUnreportedChanges = true;
    this.environment.onTaskStarted(this, task, attempt.attemptNumber);
    if (this.failsTasks || job.alwaysFails) this.finishAfter(task, attempt, 800, 'error');
    else if (job.runMs !== null) this.finishAfter(task, attempt, job.runMs, 'done');
  }

  private finishAfter(task: TaskId, attempt: LocalAttempt, delayMs: number, cause: string): void {
    this.clock.after(delayMs, () => {
      const finish = (): void => {
        if (!this.isTerminated && attempt.state === 'running' && this.attempts.get(task) === attempt)
          this.exitAttempt(task, attempt, cause);
      };
      this.runWhenResponsive(finish);
    });
  }

  /** Restarts the machine without delay: the worker has a new incarnation, no tasks and no fetched images. */
  restart(): void {
    for (const [task, attempt] of this.attempts)
      if (attempt.state !== 'exited') this.environment.onTaskEnded(this, task, 'restarted');
    this.attempts.clear();
    this.fetchedImages.clear();
    this.incarnation++;
    this.leaseRenewedAt = this.clock.now();
    this.hasUnreportedChanges = true;
  }

  /** Ends all running tasks and marks the machine as removed. */
  terminate(): void {
    this.isTerminated = true;
    for (const [task, attempt] of this.attempts)
      if (attempt.state === 'running') this.environment.onTaskEnded(this, task, 'machine gone');
    this.attempts.clear();
  }
}
