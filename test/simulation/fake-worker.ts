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

export interface JobFacts {
  readonly image: ImageId;
  readonly fetchMs: number;
  /** Null: runs until it is killed. */
  readonly runMs: number | null;
  /** Every attempt fails. */
  readonly broken: boolean;
}

export interface HeartbeatAnswer {
  readonly status: number;
  readonly token: FencingToken;
  readonly orders: readonly WorkerCommand[];
  /** The controller that the worker is sent to. */
  readonly foreman?: string;
}

export interface WorkerWorld {
  readonly nodes: readonly string[];
  job(id: JobId): JobFacts | undefined;
  started(worker: FakeWorker, task: TaskId, attemptNumber: AttemptNumber): void;
  left(worker: FakeWorker, task: TaskId, why: string): void;
  /** Null: no answer. */
  heartbeat(worker: FakeWorker, node: string, heartbeat: Heartbeat): Promise<HeartbeatAnswer | null>;
}

const SENT_ELSEWHERE = 421;
/** By then a worker that was sent elsewhere reports there. */
const REDIRECTED_MS = 250;

interface Here {
  attemptNumber: AttemptNumber;
  state: AttemptState;
  cause: string | null;
}

/** One machine's worker, by the published protocol. */
export class FakeWorker {
  private session = 1;
  private counter = 0;
  private token = 0;
  private node = 0;
  private lastAnsweredSent: number;
  private readonly here = new Map<TaskId, Here>();
  private readonly images = new Set<ImageId>();
  private reporting = false;
  private dirty = false;
  private lastSent = -Infinity;
  /** Does nothing; messages to it wait. */
  hung = false;
  /** Its machine fails whatever it starts. */
  sick = false;
  gone = false;
  notice: number | null = null;
  private readonly held: (() => void)[] = [];

  constructor(
    readonly machine: Machine,
    private readonly clock: Clock,
    private readonly world: WorkerWorld,
    private readonly leaseMs: number,
    private readonly reportMs: number,
  ) {
    this.lastAnsweredSent = clock.now();
    this.tick();
  }

  hang(): void {
    this.hung = true;
  }

  goOn(): void {
    this.hung = false;
    this.checkLease();
    for (const run of this.held.splice(0)) run();
  }

  private tick(): void {
    if (this.gone) return;
    this.clock.after(250, () => {
      if (!this.hung) {
        this.checkLease();
        const wait = this.dirty ? 500 : this.reportMs;
        if (!this.reporting && this.clock.now() - this.lastSent >= wait) void this.heartbeat();
      }
      this.tick();
    });
  }

  private checkLease(): void {
    if (this.gone || this.clock.now() - this.lastAnsweredSent <= this.leaseMs) return;
    for (const [task, t] of this.here) if (t.state !== 'exited') this.world.left(this, task, 'lease over');
    this.here.clear();
    this.session++;
    this.lastAnsweredSent = this.clock.now();
    this.dirty = true;
  }

  private snapshot(): Heartbeat {
    this.counter++;
    const attempts: Attempt[] = [...this.here].map(([task, t]) => ({
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
      incarnation: this.session as AgentIncarnation,
      sequence: this.counter as HeartbeatSequence,
      token: this.token as FencingToken,
      interruptionNotice: this.notice as Heartbeat['interruptionNotice'],
      attempts,
    };
  }

  private async heartbeat(): Promise<void> {
    this.reporting = true;
    this.dirty = false;
    const sent = this.clock.now();
    this.lastSent = sent;
    const session = this.session;
    const node = this.world.nodes[this.node % this.world.nodes.length] as string;
    const answer = await this.world.heartbeat(this, node, this.snapshot());
    this.reporting = false;
    if (this.gone || this.hung) return;
    const named = answer?.status === SENT_ELSEWHERE ? this.world.nodes.indexOf(answer.foreman ?? '') : -1;
    if (named >= 0 && this.world.nodes[named] !== node) {
      this.node = named;
      this.lastSent = this.clock.now() - this.reportMs + REDIRECTED_MS;
      return;
    }
    if (!answer || answer.status !== 200) {
      this.node++;
      this.lastSent = this.clock.now() - this.reportMs + 1000;
      return;
    }
    if (this.clock.now() - sent > 4000 || session !== this.session || answer.token < this.token) return;
    if (answer.token > this.token) this.dirty = true;
    this.token = answer.token;
    this.lastAnsweredSent = sent;
    this.execute(answer.orders);
  }

  /** POST /commands; a hanging machine carries it out when it goes on. */
  command(
    token: FencingToken,
    session: AgentIncarnation,
    orders: readonly WorkerCommand[],
  ): { executed: boolean; heartbeat: Heartbeat } {
    if (token < this.token || session !== this.session)
      return { executed: false, heartbeat: this.snapshot() };
    if (token > this.token) this.dirty = true;
    this.token = token;
    this.execute(orders);
    return { executed: true, heartbeat: this.snapshot() };
  }

  /** Runs now, or once the machine goes on. */
  whenAwake(run: () => void): void {
    if (this.hung) this.held.push(run);
    else if (!this.gone) run();
  }

  /** What it says now, without its counter moving on. */
  copy(): Heartbeat {
    const heartbeat = this.snapshot();
    this.counter--;
    return heartbeat;
  }

  show(): Heartbeat {
    return this.snapshot();
  }

  private execute(orders: readonly WorkerCommand[]): void {
    for (const order of orders) {
      const known = this.here.get(order.task);
      if (order.kind === 'start') {
        if (known && known.attemptNumber === order.attemptNumber) continue;
        if (known && known.state !== 'exited') continue;
        this.start(order.task, order.attemptNumber);
      } else if (order.kind === 'stop') {
        if (known && known.attemptNumber === order.attemptNumber && known.state !== 'exited')
          this.exit(order.task, known, 'stopped');
      } else if (known && known.attemptNumber === order.attemptNumber && known.state === 'exited')
        this.here.delete(order.task);
    }
  }

  private exit(task: TaskId, t: Here, cause: string): void {
    const was = t.state;
    t.state = 'exited';
    t.cause = cause;
    this.dirty = true;
    if (was === 'running') this.world.left(this, task, cause);
  }

  private start(task: TaskId, attemptNumber: AttemptNumber): void {
    const job = this.world.job(parseTaskId(task)?.job as JobId);
    const t: Here = { attemptNumber, state: 'fetching', cause: null };
    this.here.set(task, t);
    this.dirty = true;
    if (!job) {
      this.exit(task, t, 'no_such');
      return;
    }
    this.clock.after(this.images.has(job.image) ? 1 : job.fetchMs, () => this.ready(task, t, job));
  }

  private ready(task: TaskId, t: Here, job: JobFacts): void {
    if (this.gone || t.state !== 'fetching' || this.here.get(task) !== t) return;
    this.images.add(job.image);
    t.state = 'running';
    this.dirty = true;
    this.world.started(this, task, t.attemptNumber);
    if (this.sick || job.broken) this.finishAfter(task, t, 800, 'error');
    else if (job.runMs !== null) this.finishAfter(task, t, job.runMs, 'done');
  }

  private finishAfter(task: TaskId, t: Here, ms: number, cause: string): void {
    this.clock.after(ms, () => {
      const finish = (): void => {
        if (!this.gone && t.state === 'running' && this.here.get(task) === t) this.exit(task, t, cause);
      };
      this.whenAwake(finish);
    });
  }

  /** The machine ends and is back at once: a new session, and nothing on it. */
  restart(): void {
    for (const [task, t] of this.here) if (t.state !== 'exited') this.world.left(this, task, 'restarted');
    this.here.clear();
    this.images.clear();
    this.session++;
    this.lastAnsweredSent = this.clock.now();
    this.dirty = true;
  }

  /** The machine is gone, with everything on it. */
  vanish(): void {
    this.gone = true;
    for (const [task, t] of this.here) if (t.state === 'running') this.world.left(this, task, 'machine gone');
    this.here.clear();
  }
}
