/** The machines of a site on loopback: each worker serves its own address and sends heartbeats over real sockets. */
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
const ANSWER_TIMEOUT_MS = 4000;
const MIN_DUPLICATE_DELAY_MS = 1000;
const DUPLICATE_DELAY_SPREAD_MS = 19_000;

/** The options of the machines, and callbacks into the site. */
export interface MachinesOptions {
  /** The first two bytes of all addresses of this site. */
  readonly network: string;
  readonly nodes: readonly string[];
  readonly fronts: readonly string[];
  readonly leaseMs: number;
  readonly heartbeatIntervalMs: number;
  readonly random: () => number;
  readonly leader: () => string | undefined;
  readonly leaderOf: (epoch: number) => string | undefined;
  readonly behaviorOf: (id: JobId) => JobBehavior | undefined;
  readonly onTaskStarted: (task: TaskId, attemptNumber: AttemptNumber, machine: Machine) => void;
  readonly onTaskEnded: (task: TaskId, machine: Machine, cause: string) => void;
  readonly trace: (text: string) => void;
}

interface RunningMachine {
  readonly worker: FakeWorker;
  readonly server: Promise<Server | null>;
  readonly links: readonly HttpTarget[];
}

/** Workers, and the faults of their network. */
export class LoopbackMachines implements WorkerEnvironment {
  readonly workers = new Map<MachineId, FakeWorker>();
  /** Pairs `node machine` between which no message passes. */
  readonly cutLinks = new Set<string>();
  /** Machines that receive nothing: their heartbeats arrive, but no answer and no command reaches them. */
  readonly inboundPartitioned = new Set<MachineId>();
  /** Machines whose heartbeats reach no controller, while direct commands reach them. */
  readonly outboundPartitioned = new Set<MachineId>();
  /** The fraction of heartbeats of which a duplicate arrives later. */
  duplicateRate = 0;
  /** The fraction of heartbeats that are lost, or whose answer is lost. */
  lossRate = 0;
  /** Commands are delivered a second time after this delay; null: they are not. */
  commandRepeatDelayMs: number | null = null;
  /** Called when the first command to start a task arrives at a machine. */
  onFirstStart: (id: MachineId) => void = () => {};
  private readonly startedMachines = new Set<MachineId>();
  private readonly heldMachines = new Set<MachineId>();
  private heldRequests: (() => void)[] = [];
  private readonly runningMachines = new Map<MachineId, RunningMachine>();

  constructor(private readonly options: MachinesOptions) {}

  get nodes(): readonly string[] {
    return this.options.nodes;
  }

  addressOf(id: MachineId): string {
    return `${this.ipOf(id)}:${WORKER_PORT}`;
  }

  private ipOf(id: MachineId): string {
    const number = Number(id.slice('host-'.length));
    return `${this.options.network}.${1 + (number >> 8)}.${number & 255}`;
  }

  /** Starts the worker of a machine that has booted. */
  start(machine: Machine): void {
    const { leaseMs, heartbeatIntervalMs, fronts, trace } = this.options;
    trace(`${machine.id} is up (${machine.type}, ${machine.zone}${machine.spot ? ', spot' : ''})`);
    const worker = new FakeWorker(machine, systemClock, this, leaseMs, heartbeatIntervalMs);
    const server = serve(WORKER_PORT, this.ipOf(machine.id), this.handlerOf(worker)).catch(() => null);
    this.workers.set(machine.id, worker);
    this.runningMachines.set(machine.id, {
      worker,
      server,
      links: fronts.map((front) => new HttpTarget(front, 1)),
    });
  }

  /** Removes a machine with its tasks, and closes its address. */
  remove(id: MachineId): void {
    this.workers.get(id)?.terminate();
    this.workers.delete(id);
    const running = this.runningMachines.get(id);
    this.runningMachines.delete(id);
    void running?.server.then((server) => {
      server?.close();
      server?.closeAllConnections();
    });
  }

  // Commands

  private handlerOf(worker: FakeWorker): Handler {
    const handle = workersHandler(
      () => worker,
      (id) => this.addressOf(id),
    );
    return async (request) => {
      const { id } = worker.machine;
      const { epoch } = (request.body ?? {}) as { epoch?: FencingToken };
      if (this.inboundPartitioned.has(id) || this.isCutFrom(id, epoch)) throw new AnswerLostError();
      if (this.heldMachines.has(id)) await new Promise<void>((resolve) => this.heldRequests.push(resolve));
      // A hanging machine handles the request once it resumes.
      await new Promise<void>((resolve) => worker.runWhenResponsive(resolve));
      const { orders } = (request.body ?? {}) as { orders?: readonly { verb: string }[] };
      this.recordStart(id, orders?.some(({ verb }) => verb === 'run') ?? false);
      const after = this.commandRepeatDelayMs;
      if (after !== null)
        systemClock.after(after, () => worker.runWhenResponsive(() => void handle(request)));
      return handle(request);
    };
  }

  /** Only leaders call workers: the epoch of a command names the caller, a query is attributed to the current leader. */
  private isCutFrom(id: MachineId, token: FencingToken | undefined): boolean {
    const { leader, leaderOf } = this.options;
    const caller = token === undefined ? leader() : leaderOf(epochOfFencingToken(token));
    return caller !== undefined && this.cutLinks.has(`${caller} ${id}`);
  }

  /** Holds the commands to a machine until they are released. */
  holdCommands(machine: MachineId): void {
    this.heldMachines.add(machine);
  }

  /** Delivers all held commands. */
  releaseCommands(): void {
    this.heldMachines.clear();
    const held = this.heldRequests;
    this.heldRequests = [];
    for (const run of held) run();
  }

  // Heartbeats

  async heartbeat(worker: FakeWorker, node: string, heartbeat: Heartbeat): Promise<HeartbeatAnswer | null> {
    const { id } = worker.machine;
    if (this.outboundPartitioned.has(id) || this.cutLinks.has(`${node} ${id}`)) {
      await sleep(systemClock, 2);
      return null;
    }
    const body = heartbeatBody(heartbeat, (host) => this.addressOf(host));
    if (this.options.random() < this.duplicateRate) this.scheduleDuplicate(body);
    if (this.options.random() < this.lossRate / 2) return this.loseAnswer();
    const answer = await this.call(this.runningMachines.get(id)?.links[this.nodes.indexOf(node)], body);
    if (this.inboundPartitioned.has(id) || this.options.random() < this.lossRate / 2)
      return this.loseAnswer();
    this.recordStart(id, answer?.orders.some(({ kind }) => kind === 'start') ?? false);
    return answer;
  }

  private recordStart(id: MachineId, hasStart: boolean): void {
    if (this.startedMachines.has(id) || !hasStart) return;
    this.startedMachines.add(id);
    this.onFirstStart(id);
  }

  private async loseAnswer(): Promise<null> {
    await sleep(systemClock, ANSWER_TIMEOUT_MS);
    return null;
  }

  private async call(link: HttpTarget | undefined, body: object): Promise<HeartbeatAnswer | null> {
    try {
      const reply = await link?.call('POST', '/agent/beat', body, ANSWER_TIMEOUT_MS);
      return reply ? heartbeatAnswer(reply.status, reply.body) : null;
    } catch {
      return null;
    }
  }

  /** Delivers a duplicate later, to the leader of that time. */
  private scheduleDuplicate(body: object): void {
    const { fronts, random, leader } = this.options;
    systemClock.after(MIN_DUPLICATE_DELAY_MS + DUPLICATE_DELAY_SPREAD_MS * random(), () => {
      const front = fronts[Math.max(0, this.nodes.indexOf(leader() ?? ''))];
      if (front) void this.call(new HttpTarget(front, 1), body);
    });
  }

  // Tasks

  behaviorOf(id: JobId): JobBehavior | undefined {
    return this.options.behaviorOf(id);
  }

  onTaskStarted(worker: FakeWorker, task: TaskId, attemptNumber: AttemptNumber): void {
    this.options.onTaskStarted(task, attemptNumber, worker.machine);
  }

  onTaskEnded(worker: FakeWorker, task: TaskId, cause: string): void {
    this.options.onTaskEnded(task, worker.machine, cause);
  }
}
