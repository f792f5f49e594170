import type { Counter, ImageId, JobId, TaskId, SessionNumber, Token, TryNo } from '../../src/model/ids.js';
import { splitTaskId } from '../../src/model/ids.js';
import type { Machine } from '../../src/model/machine.js';
import type { Attempt, AttemptState, Order, Report } from '../../src/model/heartbeat.js';
import type { Clock } from '../../src/model/time.js';
import { address } from './cloud.js';

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
  readonly token: Token;
  readonly orders: readonly Order[];
  /** The controller that the worker is sent to. */
  readonly foreman?: string;
}

export interface WorkerWorld {
  readonly nodes: readonly string[];
  job(id: JobId): JobFacts | undefined;
  started(worker: StandInWorker, task: TaskId, tryNo: TryNo): void;
  left(worker: StandInWorker, task: TaskId, why: string): void;
  /** Null: no answer. */
  heartbeat(worker: StandInWorker, node: string, report: Report): Promise<HeartbeatAnswer | null>;
}

const SENT_ELSEWHERE = 421;
/** By then a worker that was sent elsewhere reports there. */
const REDIRECTED_MS = 250;

interface Here {
  tryNo: TryNo;
  state: AttemptState;
  cause: string | null;
}

/** One machine's worker, by the published protocol. */
export class StandInWorker {
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
        if (!this.reporting && this.clock.now() - this.lastSent >= wait) void this.report();
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

  private snapshot(): Report {
    this.counter++;
    const attempts: Attempt[] = [...this.here].map(([task, t]) => ({
      task,
      tryNo: t.tryNo,
      state: t.state,
      cause: t.cause,
    }));
    return {
      host: this.machine.id,
      address: address(this.machine.id),
      type: this.machine.type,
      zone: this.machine.zone,
      spot: this.machine.spot,
      session: this.session as SessionNumber,
      counter: this.counter as Counter,
      token: this.token as Token,
      notice: this.notice as Report['notice'],
      attempts,
    };
  }

  private async report(): Promise<void> {
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
    token: Token,
    session: SessionNumber,
    orders: readonly Order[],
  ): { executed: boolean; report: Report } {
    if (token < this.token || session !== this.session) return { executed: false, report: this.snapshot() };
    if (token > this.token) this.dirty = true;
    this.token = token;
    this.execute(orders);
    return { executed: true, report: this.snapshot() };
  }

  /** Runs now, or once the machine goes on. */
  whenAwake(run: () => void): void {
    if (this.hung) this.held.push(run);
    else if (!this.gone) run();
  }

  /** What it says now, without its counter moving on. */
  copy(): Report {
    const report = this.snapshot();
    this.counter--;
    return report;
  }

  show(): Report {
    return this.snapshot();
  }

  private execute(orders: readonly Order[]): void {
    for (const order of orders) {
      const known = this.here.get(order.task);
      if (order.verb === 'run') {
        if (known && known.tryNo === order.tryNo) continue;
        if (known && known.state !== 'exited') continue;
        this.start(order.task, order.tryNo);
      } else if (order.verb === 'kill') {
        if (known && known.tryNo === order.tryNo && known.state !== 'exited')
          this.exit(order.task, known, 'stopped');
      } else if (known && known.tryNo === order.tryNo && known.state === 'exited')
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

  private start(task: TaskId, tryNo: TryNo): void {
    const job = this.world.job(splitTaskId(task)?.job as JobId);
    const t: Here = { tryNo, state: 'fetching', cause: null };
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
    this.world.started(this, task, t.tryNo);
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
