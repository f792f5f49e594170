/** The machines of a site on loopback: each worker serves its own address and reports over real sockets. */
import type { Server } from 'node:http';
import type { MachineId, JobId, TaskId, FencingToken, AttemptNumber } from '../../src/model/ids.js';
import { epochOfFencingToken } from '../../src/model/ids.js';
import type { Machine } from '../../src/model/machine.js';
import type { Heartbeat } from '../../src/model/heartbeat.js';
import { systemClock, sleep } from '../../src/model/time.js';
import { HttpTarget } from '../../src/net/http-client.js';
import {
  AnswerLostError,
  type Handler,
  heartbeatAnswer,
  heartbeatBody,
  serve,
  workersHandler,
} from '../simulation/fake-servers.js';
import {
  type HeartbeatAnswer,
  type JobBehavior,
  FakeWorker,
  type WorkerEnvironment,
} from '../simulation/fake-worker.js';

const WORKER_PORT = 9000;
const ANSWER_MS = 4000;
const COPY_LEAST_MS = 1000;
const COPY_SPREAD_MS = 19_000;

/** What the machines need of the site. */
export interface MachinesOptions {
  /** The first two parts of all addresses of this site. */
  readonly network: string;
  readonly nodes: readonly string[];
  readonly fronts: readonly string[];
  readonly leaseMs: number;
  readonly reportMs: number;
  readonly random: () => number;
  readonly leader: () => string | undefined;
  readonly leaderOf: (epoch: number) => string | undefined;
  readonly job: (id: JobId) => JobBehavior | undefined;
  readonly started: (task: TaskId, attemptNumber: AttemptNumber, machine: Machine) => void;
  readonly left: (task: TaskId, machine: Machine, why: string) => void;
  readonly trace: (text: string) => void;
}

interface Up {
  readonly worker: FakeWorker;
  readonly server: Promise<Server | null>;
  readonly links: readonly HttpTarget[];
}

/** Workers, and what the network does to them. */
export class LoopbackMachines implements WorkerEnvironment {
  readonly workers = new Map<MachineId, FakeWorker>();
  /** `node host`: nothing passes between them. */
  readonly cuts = new Set<string>();
  /** Their reports arrive; no answer and no command reaches them. */
  readonly oneWay = new Set<MachineId>();
  /** They reach no controller; commands sent straight reach them. */
  readonly mute = new Set<MachineId>();
  copyShare = 0;
  /** Of this share of the reports the answer is lost, or the report itself. */
  lostShare = 0;
  /** Commands arrive once more, so many ms later. */
  repeatAfterMs: number | null = null;
  /** The first order to start something has come to a machine. */
  onFirstWork: (id: MachineId) => void = () => {};
  private readonly worked = new Set<MachineId>();
  private readonly holding = new Set<MachineId>();
  private held: (() => void)[] = [];
  private readonly up = new Map<MachineId, Up>();

  constructor(private readonly options: MachinesOptions) {}

  get nodes(): readonly string[] {
    return this.options.nodes;
  }

  addressOf(id: MachineId): string {
    return `${this.ipOf(id)}:${WORKER_PORT}`;
  }

  private ipOf(id: MachineId): string {
    const n = Number(id.slice('host-'.length));
    return `${this.options.network}.${1 + (n >> 8)}.${n & 255}`;
  }

  /** The machine has booted: its worker begins. */
  begin(machine: Machine): void {
    const { leaseMs, reportMs, fronts, trace } = this.options;
    trace(`${machine.id} is up (${machine.type}, ${machine.zone}${machine.spot ? ', spot' : ''})`);
    const worker = new FakeWorker(machine, systemClock, this, leaseMs, reportMs);
    const server = serve(WORKER_PORT, this.ipOf(machine.id), this.handlerOf(worker)).catch(() => null);
    this.workers.set(machine.id, worker);
    this.up.set(machine.id, { worker, server, links: fronts.map((front) => new HttpTarget(front, 1)) });
  }

  gone(id: MachineId): void {
    this.workers.get(id)?.terminate();
    this.workers.delete(id);
    const up = this.up.get(id);
    this.up.delete(id);
    void up?.server.then((server) => {
      server?.close();
      server?.closeAllConnections();
    });
  }

  // Commands

  private handlerOf(worker: FakeWorker): Handler {
    const act = workersHandler(
      () => worker,
      (id) => this.addressOf(id),
    );
    return async (request) => {
      const { id } = worker.machine;
      const { epoch } = (request.body ?? {}) as { epoch?: FencingToken };
      if (this.oneWay.has(id) || this.cutFrom(id, epoch)) throw new AnswerLostError();
      if (this.holding.has(id)) await new Promise<void>((resolve) => this.held.push(resolve));
      // A machine that hangs carries it out when it goes on.
      await new Promise<void>((resolve) => worker.runWhenResponsive(resolve));
      const { orders } = (request.body ?? {}) as { orders?: readonly { verb: string }[] };
      this.noteWork(id, orders?.some(({ verb }) => verb === 'run') ?? false);
      const after = this.repeatAfterMs;
      if (after !== null) systemClock.after(after, () => worker.runWhenResponsive(() => void act(request)));
      return act(request);
    };
  }

  /** Only a leader calls workers: an order tells which by its epoch, a question is taken for the present one's. */
  private cutFrom(id: MachineId, token: FencingToken | undefined): boolean {
    const { leader, leaderOf } = this.options;
    const caller = token === undefined ? leader() : leaderOf(epochOfFencingToken(token));
    return caller !== undefined && this.cuts.has(`${caller} ${id}`);
  }

  hold(host: MachineId): void {
    this.holding.add(host);
  }

  release(): void {
    this.holding.clear();
    const held = this.held;
    this.held = [];
    for (const run of held) run();
  }

  // Reports

  async heartbeat(worker: FakeWorker, node: string, report: Heartbeat): Promise<HeartbeatAnswer | null> {
    const { id } = worker.machine;
    if (this.mute.has(id) || this.cuts.has(`${node} ${id}`)) {
      await sleep(systemClock, 2);
      return null;
    }
    const body = heartbeatBody(report, (host) => this.addressOf(host));
    if (this.options.random() < this.copyShare) this.copyLater(body);
    if (this.options.random() < this.lostShare / 2) return this.lost();
    const answer = await this.call(this.up.get(id)?.links[this.nodes.indexOf(node)], body);
    if (this.oneWay.has(id) || this.options.random() < this.lostShare / 2) return this.lost();
    this.noteWork(id, answer?.orders.some(({ kind }) => kind === 'start') ?? false);
    return answer;
  }

  private noteWork(id: MachineId, hasStart: boolean): void {
    if (this.worked.has(id) || !hasStart) return;
    this.worked.add(id);
    this.onFirstWork(id);
  }

  private async lost(): Promise<null> {
    await sleep(systemClock, ANSWER_MS);
    return null;
  }

  private async call(link: HttpTarget | undefined, body: object): Promise<HeartbeatAnswer | null> {
    try {
      const reply = await link?.call('POST', '/agent/beat', body, ANSWER_MS);
      return reply ? heartbeatAnswer(reply.status, reply.body) : null;
    } catch {
      return null;
    }
  }

  /** At whoever leads then. */
  private copyLater(body: object): void {
    const { fronts, random, leader } = this.options;
    systemClock.after(COPY_LEAST_MS + COPY_SPREAD_MS * random(), () => {
      const front = fronts[Math.max(0, this.nodes.indexOf(leader() ?? ''))];
      if (front) void this.call(new HttpTarget(front, 1), body);
    });
  }

  // What its tasks do

  behaviorOf(id: JobId): JobBehavior | undefined {
    return this.options.job(id);
  }

  onTaskStarted(worker: FakeWorker, task: TaskId, attemptNumber: AttemptNumber): void {
    this.options.started(task, attemptNumber, worker.machine);
  }

  onTaskEnded(worker: FakeWorker, task: TaskId, why: string): void {
    this.options.left(task, worker.machine, why);
  }
}
