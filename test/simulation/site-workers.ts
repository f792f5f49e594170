/** The machines of a stand-in site, and the network between them and the controllers. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import type { WorkerClient } from '../../src/peer/worker-client.js';
import type {
  MachineId,
  JobId,
  TaskId,
  AgentIncarnation,
  FencingToken,
  AttemptNumber,
} from '../../src/model/ids.js';
import type { Machine } from '../../src/model/machine.js';
import type { WorkerCommand, Heartbeat } from '../../src/model/heartbeat.js';
import { NoAnswerError } from '../../src/net/http-client.js';
import { type ProcessClock, VirtualClock } from './clock.js';
import { FakeCloud } from './fake-cloud.js';
import { RuleChecker } from './rules.js';
import { LEASE_S, SMALL, TYPES } from './site-setup.js';
import { FakeKeyValueStore } from './fake-key-value-store.js';
import { type HeartbeatAnswer, type JobFacts, FakeWorker, type WorkerWorld } from './fake-worker.js';

/** State service, cloud, workers and the checker of rules, on one virtual clock. */
export abstract class SiteMachines implements WorkerWorld {
  readonly clock = new VirtualClock();
  readonly state = new FakeKeyValueStore(this.clock);
  readonly cloud: FakeCloud;
  readonly nodes: readonly string[];
  readonly workers = new Map<MachineId, FakeWorker>();
  readonly rules = new RuleChecker((text) => this.trace(`BROKEN     ${text}`));
  protected readonly jobs = new Map<JobId, JobFacts>();
  protected readonly lines: string[] = [];
  protected readonly random: () => number;
  /** `node host`: nothing passes between them. */
  readonly cuts = new Set<string>();
  /** `node host`: orders sent straight are held back until released. */
  readonly holding = new Set<string>();
  /** Their reports arrive; no answer and no command reaches them. */
  readonly oneWay = new Set<MachineId>();
  /** They reach no controller; commands sent straight reach them. */
  readonly mute = new Set<MachineId>();
  protected repeating: number | null = null;
  protected readonly heldOrders: { pair: string; run: () => void }[] = [];
  /** Direct calls to workers under way, at most so far. */
  mostCalls = 0;
  protected calls = 0;

  constructor(protected readonly size = SMALL) {
    this.nodes = Array.from({ length: size.nodes }, (_, n) => `node-${n}`);
    const generator = xoroshiro128plus(7);
    this.random = () => uniformFloat64(generator);
    this.state.random = this.random;
    this.cloud = new FakeCloud(
      this.clock,
      size.types ?? TYPES,
      (machine) => this.machineUp(machine),
      (id) => this.machineGone(id),
      (text) => this.trace(text),
    );
  }

  /** A worker's report arrives at a node. */
  abstract heartbeat(worker: FakeWorker, node: string, heartbeat: Heartbeat): Promise<HeartbeatAnswer | null>;

  trace(text: string): void {
    this.lines.push(`${(this.clock.now() / 1000).toFixed(2).padStart(7)}  ${text}`);
  }

  get text(): string {
    return `${this.lines.join('\n')}\n`;
  }

  async run(s: number): Promise<void> {
    await this.clock.advance(s * 1000);
  }

  protected callerFor(node: string, clock: ProcessClock): WorkerClient {
    const reach = <T>(addr: string, deadline: number, act: (w: FakeWorker) => T): Promise<T> =>
      new Promise((resolve, reject) => {
        const host = addr.slice(0, addr.indexOf(':')) as MachineId;
        const pair = `${node} ${host}`;
        const worker = this.workers.get(host);
        this.mostCalls = Math.max(this.mostCalls, ++this.calls);
        let open = true;
        const over = (): void => {
          if (open) this.calls--;
          open = false;
        };
        clock.after(deadline, () => {
          over();
          reject(new NoAnswerError('deadline passed'));
        });
        if (!worker || this.cuts.has(pair) || this.oneWay.has(host)) return;
        const arrive = (): void =>
          worker.whenAwake(() => {
            const answer = act(worker);
            clock.after(2, () => {
              over();
              resolve(answer);
            });
          });
        if (this.holding.has(pair)) this.heldOrders.push({ pair, run: arrive });
        else this.clock.after(2, arrive);
      });
    return {
      sendCommands: (addr, token, session, orders, deadline) =>
        reach(addr, deadline, (w) => {
          const after = this.repeating;
          if (after !== null && orders.length > 0)
            this.clock.after(after * 1000, () => this.repeat(w, token, session, orders));
          return w.command(token, session, orders);
        }),
      fetchHeartbeat: (addr, deadline) => reach(addr, deadline, (w) => w.show()),
    };
  }

  hold(node: string, host: MachineId): void {
    this.holding.add(`${node} ${host}`);
    this.trace(`network    holds orders from ${node} to ${host}`);
  }

  /** What was held arrives now, in order, late as it is. */
  release(): void {
    this.trace(`network    delivers ${this.heldOrders.length} held`);
    this.holding.clear();
    for (const { run } of this.heldOrders.splice(0)) run();
  }

  /** From now on the network delivers every command to a worker once more, so many seconds later. */
  repeatCommands(s: number): void {
    this.repeating = s;
    this.trace(`network    delivers commands once more, ${s} s later`);
  }

  protected repeat(
    worker: FakeWorker,
    token: FencingToken,
    session: AgentIncarnation,
    orders: readonly WorkerCommand[],
  ): void {
    worker.whenAwake(() => {
      const { executed } = worker.command(token, session, orders);
      this.trace(`${worker.machine.id} ${executed ? 'carries out' : 'refuses'} a copy of ${orders.length}`);
    });
  }

  protected machineUp(machine: Machine): void {
    this.trace(`${machine.id} is up (${machine.zone}${machine.spot ? ', spot' : ''})`);
    this.workers.set(
      machine.id,
      new FakeWorker(machine, this.clock, this, LEASE_S * 1000, this.size.reportS * 1000),
    );
  }

  protected machineGone(id: MachineId): void {
    this.workers.get(id)?.vanish();
    this.workers.delete(id);
  }

  /** The cloud takes a machine, without a word. */
  takeAway(id: MachineId): void {
    this.trace(`${id} dies`);
    this.machineGone(id);
    this.cloud.machines.delete(id);
  }

  workerOf(task: string): MachineId {
    const host = this.rules.where(task as TaskId);
    if (!host) throw new Error(`${task} is on no machine`);
    return host;
  }

  worker(id: MachineId): FakeWorker {
    const worker = this.workers.get(id);
    if (!worker) throw new Error(`${id} is not up`);
    return worker;
  }

  job(id: JobId): JobFacts | undefined {
    return this.jobs.get(id);
  }

  started(worker: FakeWorker, task: TaskId, attemptNumber: AttemptNumber): void {
    this.trace(`${worker.machine.id} runs ${task} try ${attemptNumber}`);
    this.rules.started(task, worker.machine, this.clock.now());
  }

  left(worker: FakeWorker, task: TaskId, why: string): void {
    this.trace(`${worker.machine.id} ends ${task}: ${why}`);
    this.rules.left(task, worker.machine.id, why === 'done');
  }
}
