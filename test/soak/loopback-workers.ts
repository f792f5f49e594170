/** Machines of a site on loopback. Each worker listens on its own address and sends heartbeats over real sockets. */
import type { Server } from 'node:http';
import type { MachineId, JobId, TaskId, FencingToken, AttemptNumber } from '../../src/model/ids.js';
import { epochOfFencingToken } from '../../src/model/ids.js';
import type { Machine } from '../../src/model/machine.js';
import type { Heartbeat } from '../../src/model/heartbeat.js';
import { systemClock, sleep } from '../../src/model/time.js';
import { HttpConnectionPool } from '../../src/net/http-client.js';
import {
  AnswerLostError,
  type RequestHandler,
  decodeHeartbeatAnswer,
  encodeHeartbeat,
  startHttpServer,
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

/** The options of `LoopbackMachines` and its callbacks into the site. */
export interface MachinesOptions {
  /** The first two octets of all IP addresses of this site, such as `127.10`. */
  readonly network: string;
  readonly nodes: readonly string[];
  readonly frontAddresses: readonly string[];
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
  readonly links: readonly HttpConnectionPool[];
}

/** Runs the workers of a site and injects network faults between the workers and the controllers. */
export class LoopbackMachines implements WorkerEnvironment {
  readonly workers = new Map<MachineId, FakeWorker>();
  /** Pairs `node machine` whose messages are dropped in both directions. */
  readonly cutLinks = new Set<string>();
  /** Machines whose heartbeats reach the controllers, while no answer and no command reaches the machine. */
  readonly inboundPartitioned = new Set<MachineId>();
  /** Machines whose heartbeats reach no controller, while direct commands reach the machine. */
  readonly outboundPartitioned = new Set<MachineId>();
  /** The fraction of heartbeats, from 0 to 1, that are delivered again later. */
  duplicateRate = 0;
  /**
   * The fraction of heartbeats, from 0 to 1, that fail: for one half the heartbeat is lost, for the other the answer.
   */
  lossRate = 0;
  /**
   * The delay in milliseconds after which each request of a controller to a worker, a command or a query, is handled a
   * second time; null disables the second handling.
   */
  commandRepeatDelayMs: number | null = null;
  /** Called when a machine receives its first command to start a task. */
  onFirstStart: (id: MachineId) => void = () => {};
  private readonly machinesWithFirstStart = new Set<MachineId>();
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
    const { leaseMs, heartbeatIntervalMs, frontAddresses, trace } = this.options;
    trace(`${machine.id} is up (${machine.type}, ${machine.zone}${machine.spot ? ', spot' : ''})`);
    const worker = new FakeWorker(machine, systemClock, this, leaseMs, heartbeatIntervalMs);
    const server = startHttpServer(WORKER_PORT, this.ipOf(machine.id), this.handlerOf(worker)).catch(
      () => null,
    );
    this.workers.set(machine.id, worker);
    this.runningMachines.set(machine.id, {
      worker,
      server,
      links: frontAddresses.map((front) => new HttpConnectionPool(front, 1)),
    });
  }

  /** Terminates a machine and its tasks, and closes its listening socket and connections. */
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

  private handlerOf(worker: FakeWorker): RequestHandler {
    const handle = workersHandler(
      () => worker,
      (id) => this.addressOf(id),
    );
    return async (request) => {
      const { id } = worker.machine;
      const { epoch } = (request.body ?? {}) as { epoch?: FencingToken };
      if (this.inboundPartitioned.has(id) || this.isCutFrom(id, epoch)) throw new AnswerLostError();
      if (this.heldMachines.has(id)) await new Promise<void>((resolve) => this.heldRequests.push(resolve));
      // A hung machine handles the request once the machine resumes.
      await new Promise<void>((resolve) => worker.runWhenResponsive(resolve));
      const { orders } = (request.body ?? {}) as { orders?: readonly { verb: string }[] };
      this.recordStart(id, orders?.some(({ verb }) => verb === 'run') ?? false);
      const repeatDelayMs = this.commandRepeatDelayMs;
      if (repeatDelayMs !== null)
        systemClock.after(repeatDelayMs, () => worker.runWhenResponsive(() => void handle(request)));
      return handle(request);
    };
  }

  /**
   * Returns whether the link between a machine and the calling controller is cut. Only leaders call workers: the epoch
   * of a command identifies the calling leader, and a query, which has no epoch, is attributed to the current leader.
   */
  private isCutFrom(id: MachineId, token: FencingToken | undefined): boolean {
    const { leader, leaderOf } = this.options;
    const caller = token === undefined ? leader() : leaderOf(epochOfFencingToken(token));
    return caller !== undefined && this.cutLinks.has(`${caller} ${id}`);
  }

  /** Delays the requests of controllers to a machine, but no heartbeat answers, until `releaseCommands` is called. */
  holdCommands(machine: MachineId): void {
    this.heldMachines.add(machine);
  }

  /** Delivers all requests that `holdCommands` has delayed, and stops the delays of all machines. */
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
    const body = encodeHeartbeat(heartbeat, (host) => this.addressOf(host));
    if (this.options.random() < this.duplicateRate) this.scheduleDuplicate(body);
    if (this.options.random() < this.lossRate / 2) return this.loseAnswer();
    const answer = await this.call(this.runningMachines.get(id)?.links[this.nodes.indexOf(node)], body);
    if (this.inboundPartitioned.has(id) || this.options.random() < this.lossRate / 2)
      return this.loseAnswer();
    this.recordStart(id, answer?.orders.some(({ kind }) => kind === 'start') ?? false);
    return answer;
  }

  private recordStart(id: MachineId, hasStart: boolean): void {
    if (this.machinesWithFirstStart.has(id) || !hasStart) return;
    this.machinesWithFirstStart.add(id);
    this.onFirstStart(id);
  }

  private async loseAnswer(): Promise<null> {
    await sleep(systemClock, ANSWER_TIMEOUT_MS);
    return null;
  }

  private async call(link: HttpConnectionPool | undefined, body: object): Promise<HeartbeatAnswer | null> {
    try {
      const reply = await link?.call('POST', '/agent/beat', body, ANSWER_TIMEOUT_MS);
      return reply ? decodeHeartbeatAnswer(reply.status, reply.body) : null;
    } catch {
      return null;
    }
  }

  /** Sends a heartbeat again after a random delay, to the leader at that time, or to the first node if none leads. */
  private scheduleDuplicate(body: object): void {
    const { frontAddresses, random, leader } = this.options;
    systemClock.after(MIN_DUPLICATE_DELAY_MS + DUPLICATE_DELAY_SPREAD_MS * random(), () => {
      const front = frontAddresses[Math.max(0, this.nodes.indexOf(leader() ?? ''))];
      if (front) void this.call(new HttpConnectionPool(front, 1), body);
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
