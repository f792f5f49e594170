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

export interface JobBehavior {
  readonly image: ImageId;
  readonly fetchMs: number;
  /** Null: runs until it is killed. */
  readonly runMs: number | null;
  /** Every attempt fails. */
  readonly failsAlways: boolean;
}

export interface HeartbeatAnswer {
  readonly status: number;
  readonly token: FencingToken;
  readonly orders: readonly WorkerCommand[];
  /** The controller that the worker is sent to. */
  readonly foreman?: string;
}

export interface WorkerEnvironment {
  readonly nodes: readonly string[];
  behaviorOf(id: JobId): JobBehavior | undefined;
  onTaskStarted(worker: FakeWorker, task: TaskId, attemptNumber: AttemptNumber): void;
  onTaskEnded(worker: FakeWorker, task: TaskId, why: string): void;
  /** Null: no answer. */
  heartbeat(worker: FakeWorker, node: string, heartbeat: Heartbeat): Promise<HeartbeatAnswer | null>;
}

const MISDIRECTED_STATUS = 421;
/** By then a worker that was sent elsewhere reports there. */
const REDIRECT_DELAY_MS = 250;

interface LocalAttempt {
  attemptNumber: AttemptNumber;
  state: AttemptState;
  cause: string | null;
}

/** One machine's worker, by the published protocol. */
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
  /** Does nothing; messages to it wait. */
  isHung = false;
  /** Its machine fails whatever it starts. */
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

  hang(): void {
    this.isHung = true;
  }

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
        const wait = this.hasChanges ? 500 : this.heartbeatIntervalMs;
        if (!this.isHeartbeatInFlight && this.clock.now() - this.lastHeartbeatAt >= wait)
          void this.heartbeat();
      }
      this.scheduleTick();
    });
  }

  private checkLease(): void {
    if (this.isGone || this.clock.now() - this.leaseRenewedAt <= this.leaseMs) return;
    for (const [task, t] of this.attempts)
      if (t.state !== 'exited') this.environment.onTaskEnded(this, task, 'lease over');
    this.attempts.clear();
    this.incarnation++;
    this.leaseRenewedAt = this.clock.now();
    this.hasChanges = true;
  }

  private snapshot(): Heartbeat {
    this.sequence++;
    const attempts: Attempt[] = [...this.attempts].map(([task, t]) => ({
      task,
      attemptNumber: t.attemptNumber,
      state: t.state,
      cause: t.cause,
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
    const sent = this.clock.now();
    this.lastHeartbeatAt = sent;
    const session = this.incarnation;
    const node = this.environment.nodes[this.nodeIndex % this.environment.nodes.length] as string;
    const answer = await this.environment.heartbeat(this, node, this.snapshot());
    this.isHeartbeatInFlight = false;
    if (this.isGone || this.isHung) return;
    const named =
      answer?.status === MISDIRECTED_STATUS ? this.environment.nodes.indexOf(answer.foreman ?? '') : -1;
    if (named >= 0 && this.environment.nodes[named] !== node) {
      this.nodeIndex = named;
      this.lastHeartbeatAt = this.clock.now() - this.heartbeatIntervalMs + REDIRECT_DELAY_MS;
      return;
    }
    if (!answer || answer.status !== 200) {
      this.nodeIndex++;
      this.lastHeartbeatAt = this.clock.now() - this.heartbeatIntervalMs + 1000;
      return;
    }
    if (this.clock.now() - sent > 4000 || session !== this.incarnation || answer.token < this.token) return;
    if (answer.token > this.token) this.hasChanges = true;
    this.token = answer.token;
    this.leaseRenewedAt = sent;
    this.execute(answer.orders);
  }

  /** POST /commands; a hanging machine carries it out when it goes on. */
  command(
    token: FencingToken,
    session: AgentIncarnation,
    orders: readonly WorkerCommand[],
  ): { executed: boolean; heartbeat: Heartbeat } {
    if (token < this.token || session !== this.incarnation)
      return { executed: false, heartbeat: this.snapshot() };
    if (token > this.token) this.hasChanges = true;
    this.token = token;
    this.execute(orders);
    return { executed: true, heartbeat: this.snapshot() };
  }

  /** Runs now, or once the machine goes on. */
  runWhenResponsive(run: () => void): void {
    if (this.isHung) this.heldCallbacks.push(run);
    else if (!this.isGone) run();
  }

  /** What it says now, without its counter moving on. */
  repeatedHeartbeat(): Heartbeat {
    const heartbeat = this.snapshot();
    this.sequence--;
    return heartbeat;
  }

  currentHeartbeat(): Heartbeat {
    return this.snapshot();
  }

  private execute(orders: readonly WorkerCommand[]): void {
    for (const order of orders) {
      const known = this.attempts.get(order.task);
      if (order.kind === 'start') {
        if (known && known.attemptNumber === order.attemptNumber) continue;
        if (known && known.state !== 'exited') continue;
        this.start(order.task, order.attemptNumber);
      } else if (order.kind === 'stop') {
        if (known && known.attemptNumber === order.attemptNumber && known.state !== 'exited')
          this.exit(order.task, known, 'stopped');
      } else if (known && known.attemptNumber === order.attemptNumber && known.state === 'exited')
        this.attempts.delete(order.task);
    }
  }

  private exit(task: TaskId, t: LocalAttempt, cause: string): void {
    const was = t.state;
    t.state = 'exited';
    t.cause = cause;
    this.hasChanges = true;
    if (was === 'running') this.environment.onTaskEnded(this, task, cause);
  }

  private start(task: TaskId, attemptNumber: AttemptNumber): void {
    const job = this.environment.behaviorOf(parseTaskId(task)?.job as JobId);
    const t: LocalAttempt = { attemptNumber, state: 'fetching', cause: null };
    this.attempts.set(task, t);
    this.hasChanges = true;
    if (!job) {
      this.exit(task, t, 'no_such');
      return;
    }
    this.clock.after(this.fetchedImages.has(job.image) ? 1 : job.fetchMs, () =>
      this.startRunning(task, t, job),
    );
  }

  private startRunning(task: TaskId, t: LocalAttempt, job: JobBehavior): void {
    if (this.isGone || t.state !== 'fetching' || this.attempts.get(task) !== t) return;
    this.fetchedImages.add(job.image);
    t.state = 'running';
    this.hasChanges = true;
    this.environment.onTaskStarted(this, task, t.attemptNumber);
    if (this.failsTasks || job.failsAlways) this.finishAfter(task, t, 800, 'error');
    else if (job.runMs !== null) this.finishAfter(task, t, job.runMs, 'done');
  }

  private finishAfter(task: TaskId, t: LocalAttempt, ms: number, cause: string): void {
    this.clock.after(ms, () => {
      const finish = (): void => {
        if (!this.isGone && t.state === 'running' && this.attempts.get(task) === t) this.exit(task, t, cause);
      };
      this.runWhenResponsive(finish);
    });
  }

  /** The machine ends and is back at once: a new session, and nothing on it. */
  restart(): void {
    for (const [task, t] of this.attempts)
      if (t.state !== 'exited') this.environment.onTaskEnded(this, task, 'restarted');
    this.attempts.clear();
    this.fetchedImages.clear();
    this.incarnation++;
    this.leaseRenewedAt = this.clock.now();
    this.hasChanges = true;
  }

  /** The machine is gone, with everything on it. */
  terminate(): void {
    this.isGone = true;
    for (const [task, t] of this.attempts)
      if (t.state === 'running') this.environment.onTaskEnded(this, task, 'machine gone');
    this.attempts.clear();
  }
}
