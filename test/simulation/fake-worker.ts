/** A fake of the agent on a machine. */
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

/** How the tasks of a job behave. */
export interface JobBehavior {
  readonly image: ImageId;
  readonly fetchMs: number;
  /** Null: runs until it is stopped. */
  readonly runMs: number | null;
  /** Every attempt fails. */
  readonly failsAlways: boolean;
}

/** A controller's answer to a heartbeat. */
export interface HeartbeatAnswer {
  readonly status: number;
  readonly token: FencingToken;
  readonly orders: readonly WorkerCommand[];
  /** The controller to which the worker is redirected. */
  readonly foreman?: string;
}

/** What a worker needs of the site: the network, its jobs, and callbacks for its tasks. */
export interface WorkerEnvironment {
  readonly nodes: readonly string[];
  behaviorOf(id: JobId): JobBehavior | undefined;
  onTaskStarted(worker: FakeWorker, task: TaskId, attemptNumber: AttemptNumber): void;
  onTaskEnded(worker: FakeWorker, task: TaskId, cause: string): void;
  /** Sends a heartbeat; resolves to null for no answer. */
  heartbeat(worker: FakeWorker, node: string, heartbeat: Heartbeat): Promise<HeartbeatAnswer | null>;
}

const MISDIRECTED_STATUS = 421;
/** A redirected worker sends its next heartbeat within this time. */
const REDIRECT_DELAY_MS = 250;

interface LocalAttempt {
  attemptNumber: AttemptNumber;
  state: AttemptState;
  cause: string | null;
}

/** A worker that behaves as the published protocol says. */
export class FakeWorker {
  private incarnation = 1;
  private sequence = 0;
  private token = 0;
  private nodeIndex = 0;
  private leaseRenewedAt: number;
  private readonly attempts = new Map<TaskId, LocalAttempt>();
  private readonly fetchedImages = new Set<ImageId>();
  private isHeartbeatInFlight = false;
  private hasChanges = false;
  private lastHeartbeatAt = -Infinity;
  /** Whether the machine hangs: it does nothing, and messages to it wait. */
  isHung = false;
  /** Whether every task fails on this machine. */
  failsTasks = false;
  isGone = false;
  interruptionNoticeS: number | null = null;
  private readonly heldCallbacks: (() => void)[] = [];

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

  /** Makes the machine hang. */
  hang(): void {
    this.isHung = true;
  }

  /** Lets the machine resume: it checks its lease, then handles what has waited. */
  resume(): void {
    this.isHung = false;
    this.checkLease();
    for (const run of this.heldCallbacks.splice(0)) run();
  }

  private scheduleTick(): void {
    if (this.isGone) return;
    this.clock.after(250, () => {
      if (!this.isHung) {
        this.checkLease();
        const intervalMs = this.hasChanges ? 500 : this.heartbeatIntervalMs;
        if (!this.isHeartbeatInFlight && this.clock.now() - this.lastHeartbeatAt >= intervalMs)
          void this.heartbeat();
      }
      this.scheduleTick();
    });
  }

  private checkLease(): void {
    if (this.isGone || this.clock.now() - this.leaseRenewedAt <= this.leaseMs) return;
    for (const [task, attempt] of this.attempts)
      if (attempt.state !== 'exited') this.environment.onTaskEnded(this, task, 'lease over');
    this.attempts.clear();
    this.incarnation++;
    this.leaseRenewedAt = this.clock.now();
    this.hasChanges = true;
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
    this.hasChanges = false;
    const sentAt = this.clock.now();
    this.lastHeartbeatAt = sentAt;
    const { incarnation } = this;
    const node = this.environment.nodes[this.nodeIndex % this.environment.nodes.length] as string;
    const answer = await this.environment.heartbeat(this, node, this.snapshot());
    this.isHeartbeatInFlight = false;
    if (this.isGone || this.isHung) return;
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
    if (answer.token > this.token) this.hasChanges = true;
    this.token = answer.token;
    this.leaseRenewedAt = sentAt;
    this.execute(answer.orders);
  }

  /** Handles POST /commands. A hanging machine handles it once it resumes. */
  command(
    token: FencingToken,
    incarnation: AgentIncarnation,
    commands: readonly WorkerCommand[],
  ): { executed: boolean; heartbeat: Heartbeat } {
    if (token < this.token || incarnation !== this.incarnation)
      return { executed: false, heartbeat: this.snapshot() };
    if (token > this.token) this.hasChanges = true;
    this.token = token;
    this.execute(commands);
    return { executed: true, heartbeat: this.snapshot() };
  }

  /** Runs the callback now, or once the hanging machine resumes. */
  runWhenResponsive(run: () => void): void {
    if (this.isHung) this.heldCallbacks.push(run);
    else if (!this.isGone) run();
  }

  /** Returns the current heartbeat without using up a sequence number. */
  repeatedHeartbeat(): Heartbeat {
    const heartbeat = this.snapshot();
    this.sequence--;
    return heartbeat;
  }

  /** Returns the current heartbeat under a new sequence number. */
  currentHeartbeat(): Heartbeat {
    return this.snapshot();
  }

  private execute(commands: readonly WorkerCommand[]): void {
    for (const command of commands) {
      const attempt = this.attempts.get(command.task);
      if (command.kind === 'start') {
        if (attempt && attempt.attemptNumber === command.attemptNumber) continue;
        if (attempt && attempt.state !== 'exited') continue;
        this.start(command.task, command.attemptNumber);
      } else if (command.kind === 'stop') {
        if (attempt && attempt.attemptNumber === command.attemptNumber && attempt.state !== 'exited')
          this.exit(command.task, attempt, 'stopped');
      } else if (attempt && attempt.attemptNumber === command.attemptNumber && attempt.state === 'exited')
        this.attempts.delete(command.task);
    }
  }

  private exit(task: TaskId, attempt: LocalAttempt, cause: string): void {
    const previousState = attempt.state;
    attempt.state = 'exited';
    attempt.cause = cause;
    this.hasChanges = true;
    if (previousState === 'running') this.environment.onTaskEnded(this, task, cause);
  }

  private start(task: TaskId, attemptNumber: AttemptNumber): void {
    const job = this.environment.behaviorOf(parseTaskId(task)?.job as JobId);
    const attempt: LocalAttempt = { attemptNumber, state: 'fetching', cause: null };
    this.attempts.set(task, attempt);
    this.hasChanges = true;
    if (!job) {
      this.exit(task, attempt, 'no_such');
      return;
    }
    this.clock.after(this.fetchedImages.has(job.image) ? 1 : job.fetchMs, () =>
      this.startRunning(task, attempt, job),
    );
  }

  private startRunning(task: TaskId, attempt: LocalAttempt, job: JobBehavior): void {
    if (this.isGone || attempt.state !== 'fetching' || this.attempts.get(task) !== attempt) return;
    this.fetchedImages.add(job.image);
    attempt.state = 'running';
    this.hasChanges = true;
    this.environment.onTaskStarted(this, task, attempt.attemptNumber);
    if (this.failsTasks || job.failsAlways) this.finishAfter(task, attempt, 800, 'error');
    else if (job.runMs !== null) this.finishAfter(task, attempt, job.runMs, 'done');
  }

  private finishAfter(task: TaskId, attempt: LocalAttempt, ms: number, cause: string): void {
    this.clock.after(ms, () => {
      const finish = (): void => {
        if (!this.isGone && attempt.state === 'running' && this.attempts.get(task) === attempt)
          this.exit(task, attempt, cause);
      };
      this.runWhenResponsive(finish);
    });
  }

  /** Restarts the machine at once: a new incarnation without tasks. */
  restart(): void {
    for (const [task, attempt] of this.attempts)
      if (attempt.state !== 'exited') this.environment.onTaskEnded(this, task, 'restarted');
    this.attempts.clear();
    this.fetchedImages.clear();
    this.incarnation++;
    this.leaseRenewedAt = this.clock.now();
    this.hasChanges = true;
  }

  /** Removes the machine with all its tasks. */
  terminate(): void {
    this.isGone = true;
    for (const [task, attempt] of this.attempts)
      if (attempt.state === 'running') this.environment.onTaskEnded(this, task, 'machine gone');
    this.attempts.clear();
  }
}
