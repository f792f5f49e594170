import { PeerSupport } from '@plumyoke/membership';
import { SimulatedNetwork } from '@plumyoke/standins';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { UserService } from '../../src/api/users.js';
import { Cancellations } from '../../src/cluster/cancellations.js';
import type { NodeContext, Siblings, WorkerCaller } from '../../src/cluster/context.js';
import { Failover } from '../../src/cluster/failover/failover.js';
import { Leadership } from '../../src/cluster/leadership.js';
import type { FailoverFeature } from '../../src/config/features.js';
import { defaultOperators } from '../../src/config/operators.js';
import { silentLog } from '../../src/log/logger.js';
import type {
  HostId,
  ImageId,
  JobId,
  MemberId,
  TaskId,
  TeamId,
  SessionNumber,
  Token,
  TryNo,
  TypeId,
  ZoneId,
} from '../../src/model/ids.js';
import { splitTaskId } from '../../src/model/ids.js';
import type { Machine } from '../../src/model/machine.js';
import type { Order, Report } from '../../src/model/report.js';
import { PROTOCOL_VERSION } from '../../src/model/protocol.js';
import { seconds } from '../../src/model/time.js';
import type { CancellationsWord } from '../../src/peer/frames.js';
import { NoAnswer } from '../../src/net/http-client.js';
import { limitProbe } from '../../src/store/limit-probe.js';
import { StateLimits } from '../../src/store/limits.js';
import type { MemberLine } from '../../src/wire/members.js';
import type { Settings } from '../../src/wire/settings.js';
import type { Row } from '../../src/wire/state.js';
import { ProcessClock, VirtualClock } from './clock.js';
import { StandInCloud } from './cloud.js';
import { RuleChecker } from './rules.js';
import { CANCEL_S, type JobWish, LEASE_S, settingsOf, SMALL, submissionBody, TYPES } from './site-setup.js';
import { StandInState } from './state.js';
import { type HeartbeatAnswer, type JobFacts, StandInWorker, type WorkerWorld } from './worker.js';

/** One way between two controllers. */
const PEER_MS = 3;

interface Running {
  /** Null: the site runs without failure detection. */
  readonly failover: Failover | null;
  readonly clock: ProcessClock;
  readonly leadership: Leadership;
  readonly users: UserService;
  readonly cancellations: Cancellations;
}

/** A whole site on a virtual clock: three nodes, state service, cloud, workers, users, rule checker. */
export class Site implements WorkerWorld {
  readonly clock = new VirtualClock();
  readonly state = new StandInState(this.clock);
  readonly cloud: StandInCloud;
  readonly nodes: readonly string[];
  readonly workers = new Map<HostId, StandInWorker>();
  readonly rules = new RuleChecker((text) => this.trace(`BROKEN     ${text}`));
  private readonly running = new Map<string, Running>();
  private readonly jobs = new Map<JobId, JobFacts>();
  private readonly lines: string[] = [];
  private readonly random: () => number;
  /** `node host`: nothing passes between them. */
  readonly cuts = new Set<string>();
  /** `node host`: orders sent straight are held back until released. */
  readonly holding = new Set<string>();
  /** Their reports arrive; no answer and no command reaches them. */
  readonly oneWay = new Set<HostId>();
  /** They reach no controller; commands sent straight reach them. */
  readonly mute = new Set<HostId>();
  /** Of this share of the reports a copy arrives again, 2 to 40 s later, at whoever leads then. */
  copyShare = 0;
  /** Nodes that reach no other controller. */
  readonly alone = new Set<string>();
  /** Nodes that start from now on could not read the machine types. */
  typesUnknown = false;
  /** Nodes of a version that knows nothing of cancellations told between controllers. */
  readonly old = new Set<string>();
  /** The protocol version that all controllers have that are not `old`. */
  version = PROTOCOL_VERSION;
  /** Failure detection, where a test switches it on; nodes that start from then on have it. */
  failover: FailoverFeature | null = null;
  readonly peerNetwork: SimulatedNetwork;
  private repeating: number | null = null;
  private readonly heldOrders: { pair: string; run: () => void }[] = [];

  /** The share of its processor time that each node uses. */
  load = 0;

  /** Direct calls to workers under way, at most so far. */
  mostCalls = 0;
  private calls = 0;

  constructor(private readonly size = SMALL) {
    this.nodes = Array.from({ length: size.nodes }, (_, n) => `node-${n}`);
    const generator = xoroshiro128plus(7);
    this.random = () => uniformFloat64(generator);
    this.state.random = this.random;
    this.peerNetwork = new SimulatedNetwork(this.clock, this.random);
    this.cloud = new StandInCloud(
      this.clock,
      TYPES,
      (machine) => this.machineUp(machine),
      (id) => this.machineGone(id),
      (text) => this.trace(text),
    );
  }

  trace(text: string): void {
    this.lines.push(`${(this.clock.now() / 1000).toFixed(2).padStart(7)}  ${text}`);
  }

  get text(): string {
    return `${this.lines.join('\n')}\n`;
  }

  async run(s: number): Promise<void> {
    await this.clock.advance(s * 1000);
  }

  /**
   * Goes on with the records that others have left, on the machines and with the tasks that they tell of.
   * `token`: the highest that the workers have seen. The leader's key is not among them: its grant ended.
   */
  restore(records: readonly Row[], wishes: readonly JobWish[], token: Token): void {
    this.state.restore(records);
    for (const wish of wishes) {
      this.describe(wish, this.nodes[0] as string);
      this.rules.accepted(wish.ref as JobId);
    }
    for (const { key, value } of records) {
      const { s: state } = value as { s?: string };
      if (key.startsWith('job/') && state !== 'a')
        this.rules.endedBefore(key.slice(4) as JobId, state === 'd');
    }
    for (const { key, value } of records) {
      if (!key.startsWith('fleet/')) continue;
      for (const [id, type, zone, spot] of (value as { m: [HostId, TypeId, ZoneId, number][] }).m)
        this.cloud.adopt({ id, type, zone, spot: spot === 1 });
    }
    for (const { key, value } of records) {
      const job = /^open\/(j-\d+)\/(?:\d+-)?\d+$/.exec(key)?.[1];
      if (job === undefined) continue;
      for (const [index, tryNo, host] of (value as { p?: [number, TryNo, HostId][] }).p ?? [])
        this.worker(host).command(token, 1 as SessionNumber, [
          { verb: 'run', task: `${job}/${index}` as TaskId, tryNo },
        ]);
    }
  }

  // Nodes

  start(name: string): void {
    const clock = new ProcessClock(this.clock);
    const settings = this.failover ? this.settingsWithSiblings(name) : settingsOf(name, this.size);
    const store = this.state.for(name, clock);
    const limits = new StateLimits(settings, clock, limitProbe(store, settings));
    if (this.old.size === 0) limits.allowSplitProgress();
    const cancellations = new Cancellations(clock, seconds(CANCEL_S));
    const ctx: NodeContext = {
      member: name as MemberId,
      clock,
      log: silentLog,
      settings,
      ops: defaultOperators(),
      store,
      cloud: this.cloud.for(clock),
      workers: this.callerFor(name, clock),
      random: this.random,
      types: new Map(this.typesUnknown ? [] : TYPES.map((t) => [t.id, t])),
      workerCalls: 64,
      load: () => this.load,
      limits,
      cancellations,
      allSpeak: (version) => version <= this.version && !this.nodes.some((other) => this.old.has(other)),
      siblings: this.siblingsOf(name, clock),
      readAhead: (prefix) => this.running.get(name)?.failover?.readAhead(prefix) ?? Promise.resolve(null),
    };
    const leadership = new Leadership(ctx, () => Promise.resolve());
    const failover = this.failoverOf(name, ctx, leadership, clock);
    this.running.set(name, {
      failover,
      clock,
      leadership,
      cancellations,
      users: new UserService(
        ctx,
        () => null,
        () => this.running.size,
      ),
    });
    cancellations.onLearned((ids) => {
      leadership.leader?.cancelled(ids);
      const told = cancellations.list(ids);
      for (const other of this.nodes) {
        if (other === name || !this.hears(name, other)) continue;
        this.clock.after(PEER_MS, () => {
          const to = this.running.get(other);
          to?.clock.whenRunning(() => to.cancellations.learn(told));
        });
      }
    });
    this.trace(`${name}     starts`);
    failover?.start();
    leadership.run();
  }

  private settingsWithSiblings(name: string): Settings {
    const others = this.nodes.filter((other) => other !== name);
    const siblings = others.map((member) => ({ member: member as MemberId, address: '127.0.0.1:2' }));
    return { ...settingsOf(name, this.size), siblings };
  }

  private failoverOf(
    name: string,
    context: NodeContext,
    leadership: Leadership,
    clock: ProcessClock,
  ): Failover | null {
    if (this.failover === null) return null;
    const failover = new Failover({
      context,
      feature: this.failover,
      leadership,
      stateOk: () => !this.state.outage && !this.state.refused.has(name),
      allHaveSpoken: () => this.old.size === 0,
      transport: {
        support: (peer) => (this.old.has(peer) ? PeerSupport.Unsupported : PeerSupport.Supported),
        request: (to, payload, deadlineMs) =>
          this.peerNetwork.request(
            name,
            this.alone.has(name) || this.alone.has(to) ? '' : to,
            payload,
            deadlineMs,
            clock,
          ),
      },
    });
    this.peerNetwork.attach(name, { clock, handler: (payload) => failover.handle(Buffer.from(payload)) });
    return failover;
  }

  /** What a node's operator is shown. */
  members(name: string): MemberLine[] {
    return this.running.get(name)?.failover?.lines() ?? [];
  }

  /** Whether cancellations pass between two controllers: both know of them and nothing cuts them off. */
  private hears(a: string, b: string): boolean {
    return ![a, b].some((name) => this.alone.has(name) || this.old.has(name) || !this.running.has(name));
  }

  private siblingsOf(name: string, clock: ProcessClock): Siblings {
    const ask = (other: string, deadlineMs: number): Promise<CancellationsWord | null> =>
      new Promise((resolve) => {
        clock.after(deadlineMs, () => resolve(null));
        if (!this.hears(name, other)) return;
        this.clock.after(PEER_MS, () => {
          const to = this.running.get(other);
          to?.clock.whenRunning(() => {
            const word: CancellationsWord = {
              upFor: to.cancellations.upFor,
              leading: to.leadership.leader?.epoch ?? null,
              told: to.cancellations.list(),
            };
            clock.after(PEER_MS, () => resolve(word));
          });
        });
      });
    return {
      cancellations: (deadlineMs) =>
        Promise.all(this.nodes.filter((n) => n !== name).map((other) => ask(other, deadlineMs))),
    };
  }

  startAll(): void {
    for (const name of this.nodes) this.start(name);
  }

  crash(name: string): void {
    const node = this.running.get(name);
    if (!node) return;
    node.clock.alive = false;
    this.running.delete(name);
    this.peerNetwork.detach(name);
    this.trace(`${name}     crashes`);
  }

  /** The process stands still for so long while its clock runs on, then goes on with whatever it did. */
  standStill(name: string, s: number): void {
    const clock = this.running.get(name)?.clock;
    if (!clock) return;
    this.trace(`${name}     stands still`);
    clock.stop();
    this.clock.after(s * 1000, () => {
      this.trace(`${name}     goes on`);
      clock.goOn();
    });
  }

  get leader(): string | undefined {
    return this.leaderSeenFrom(null);
  }

  /** Of several the one with the newest epoch, as a node hears of them that reaches the others. */
  private leaderSeenFrom(node: string | null): string | undefined {
    const epoch = (name: string): number => this.running.get(name)?.leadership.leader?.epoch ?? 0;
    return this.nodes
      .filter((name) => epoch(name) > 0)
      .filter((name) => name === node || !(this.alone.has(name) || (node !== null && this.alone.has(node))))
      .sort((a, b) => epoch(b) - epoch(a))[0];
  }

  leads(node: string): boolean {
    return this.running.get(node)?.leadership.leader != null;
  }

  /** Machines in the leader's book. */
  get fleetSize(): number {
    const summary = this.running.get(this.leader ?? '')?.leadership.leader?.summary() as
      { hosts: number } | undefined;
    return summary?.hosts ?? 0;
  }

  private callerFor(node: string, clock: ProcessClock): WorkerCaller {
    const reach = <T>(addr: string, deadline: number, act: (w: StandInWorker) => T): Promise<T> =>
      new Promise((resolve, reject) => {
        const host = addr.slice(0, addr.indexOf(':')) as HostId;
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
          reject(new NoAnswer('deadline passed'));
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
      command: (addr, token, session, orders, deadline) =>
        reach(addr, deadline, (w) => {
          const after = this.repeating;
          if (after !== null && orders.length > 0)
            this.clock.after(after * 1000, () => this.repeat(w, token, session, orders));
          return w.command(token, session, orders);
        }),
      show: (addr, deadline) => reach(addr, deadline, (w) => w.show()),
    };
  }

  hold(node: string, host: HostId): void {
    this.holding.add(`${node} ${host}`);
    this.trace(`network    holds orders from ${node} to ${host}`);
  }

  /** What was held arrives now, in order, late as it is. */
  release(): void {
    this.trace(`network    delivers ${this.heldOrders.length} held`);
    this.holding.clear();
    for (const { run } of this.heldOrders.splice(0)) run();
  }

  /** What the machine says now comes once more, so much later, through the node that leads then. */
  copyLater(id: HostId, s: number): void {
    const report = this.worker(id).copy();
    this.clock.after(s * 1000, () => {
      this.trace(`network    delivers a copy of what ${id} said ${s} s ago`);
      this.deliverCopy(report);
    });
  }

  private deliverCopy(report: Report): void {
    const name = this.leader;
    if (name) void this.running.get(name)?.leadership.report(report, name as MemberId);
  }

  /** From now on the network delivers every command to a worker once more, so many seconds later. */
  repeatCommands(s: number): void {
    this.repeating = s;
    this.trace(`network    delivers commands once more, ${s} s later`);
  }

  private repeat(
    worker: StandInWorker,
    token: Token,
    session: SessionNumber,
    orders: readonly Order[],
  ): void {
    worker.whenAwake(() => {
      const { executed } = worker.command(token, session, orders);
      this.trace(`${worker.machine.id} ${executed ? 'carries out' : 'refuses'} a copy of ${orders.length}`);
    });
  }

  // Machines

  private machineUp(machine: Machine): void {
    this.trace(`${machine.id} is up (${machine.zone}${machine.spot ? ', spot' : ''})`);
    this.workers.set(
      machine.id,
      new StandInWorker(machine, this.clock, this, LEASE_S * 1000, this.size.reportS * 1000),
    );
  }

  private machineGone(id: HostId): void {
    this.workers.get(id)?.vanish();
    this.workers.delete(id);
  }

  /** The cloud takes a machine, without a word. */
  takeAway(id: HostId): void {
    this.trace(`${id} dies`);
    this.machineGone(id);
    this.cloud.machines.delete(id);
  }

  hostOf(task: string): HostId {
    const host = this.rules.where(task as TaskId);
    if (!host) throw new Error(`${task} is on no machine`);
    return host;
  }

  worker(id: HostId): StandInWorker {
    const worker = this.workers.get(id);
    if (!worker) throw new Error(`${id} is not up`);
    return worker;
  }

  job(id: JobId): JobFacts | undefined {
    return this.jobs.get(id);
  }

  started(worker: StandInWorker, task: TaskId, tryNo: TryNo): void {
    this.trace(`${worker.machine.id} runs ${task} try ${tryNo}`);
    this.rules.started(task, worker.machine, this.clock.now());
  }

  left(worker: StandInWorker, task: TaskId, why: string): void {
    this.trace(`${worker.machine.id} ends ${task}: ${why}`);
    this.rules.left(task, worker.machine.id, why === 'done');
  }

  heartbeat(worker: StandInWorker, node: string, report: Report): Promise<HeartbeatAnswer | null> {
    if (this.copyShare > 0 && this.random() < this.copyShare) {
      this.clock.after(2000 + 38_000 * this.random(), () => this.deliverCopy(report));
    }
    return new Promise((resolve) => {
      this.clock.after(4000, () => resolve(null));
      if (this.mute.has(worker.machine.id)) return;
      const cut = (name: string): boolean => this.cuts.has(`${name} ${worker.machine.id}`);
      if (cut(node) || !this.running.has(node)) {
        if (!cut(node)) this.clock.after(2, () => resolve(null));
        return;
      }
      const clock = this.running.get(node)?.clock;
      this.clock.after(3, () =>
        clock?.whenRunning(() => {
          // A follower passes the report on to whoever leads.
          const own = this.running.get(node)?.leadership;
          const leads = own?.leader ? node : this.leaderSeenFrom(node);
          const leader = this.running.get(leads ?? '');
          const reached = !this.oneWay.has(worker.machine.id);
          if (!leader) {
            if (!reached) return;
            resolve({ status: 503, token: 0 as HeartbeatAnswer['token'], orders: [] });
            return;
          }
          const take = async (): Promise<void> => {
            const answer = await leader.leadership.report(report, node as MemberId);
            if (!reached) return;
            this.clock.after(2, () =>
              resolve(
                answer?.kind === 'orders'
                  ? { status: 200, token: answer.token, orders: answer.orders }
                  : { status: 503, token: 0 as Token, orders: [] },
              ),
            );
          };
          leader.clock.whenRunning(() => void take());
        }),
      );
    });
  }

  // Users

  async submit(wish: JobWish, node = 'node-0'): Promise<number> {
    const body = this.describe(wish, node);
    const answer = await this.ask(node, `submits ${wish.ref}`, (users) => users.submit(body));
    return this.submitted(wish, answer.status);
  }

  /** The same for one of many users at once: time moves on without it. */
  async post(wish: JobWish, node: string): Promise<number> {
    const body = this.describe(wish, node);
    const answer = await this.running
      .get(node)
      ?.users.submit(body)
      .catch(() => null);
    return this.submitted(wish, answer?.status ?? 503);
  }

  /** A submission that must never be accepted: one that fits no machine, or lacks a field. */
  async refused(wish: JobWish, node: string, lacks?: string): Promise<void> {
    const body: Record<string, unknown> = { ...submissionBody(wish) };
    if (lacks !== undefined) delete body[lacks];
    const answer = await this.running
      .get(node)
      ?.users.submit(body)
      .catch(() => null);
    const expected = lacks === undefined ? 422 : 400;
    if (answer && answer.status !== expected && answer.status !== 503) {
      this.rules.breach(`accepted: ${wish.ref} got ${answer.status} instead of ${expected}`);
    }
  }

  private submitted(wish: JobWish, status: number): number {
    if (status === 201 || status === 200) this.rules.accepted(wish.ref as JobId);
    return status;
  }

  /** A question of one of many users; null: no answer. Time moves on without it. */
  async poll(ref: string, node: string): Promise<string | null> {
    const answer = await this.running
      .get(node)
      ?.users.query(ref)
      .catch(() => null);
    if (!answer || (answer.status !== 200 && answer.status !== 404)) return null;
    return this.heard(ref, answer);
  }

  /** The same for a cancellation. */
  async postCancel(ref: string, node: string): Promise<string | null> {
    this.rules.cancelAsked(ref);
    const answer = await this.running
      .get(node)
      ?.users.cancel(ref)
      .catch(() => null);
    if (answer?.status !== 200) return null;
    return this.heardOfCancel(ref, answer);
  }

  private heard(ref: string, answer: { status: number; body: object }): string {
    const state = answer.status === 404 ? '404' : (answer.body as { status: string }).status;
    this.rules.told(ref as JobId, state, this.clock.now());
    return state;
  }

  private heardOfCancel(ref: string, answer: { status: number; body: object }): string {
    const state = this.heard(ref, answer);
    if (state === 'cancelled') this.rules.cancelled(ref as JobId, this.clock.now() + CANCEL_S * 1000);
    return state;
  }

  isRunning(node: string): boolean {
    return this.running.has(node);
  }

  get accepted(): number {
    return [...this.rules.acceptedJobs()].length;
  }

  /** The job as the user submits it; from now on the checker knows it. */
  private describe(wish: JobWish, node: string): Parameters<RuleChecker['submitted']>[1] {
    const body = submissionBody(wish);
    const id = wish.ref as JobId;
    this.jobs.set(id, {
      image: 'img-1' as ImageId,
      fetchMs: 1000,
      runMs: body.shape === 'array' ? (wish.runS ?? 5) * 1000 : null,
      broken: wish.broken ?? false,
    });
    const team = settingsOf(node, this.size).teams.find((t) => t.id === (body.owner as TeamId));
    this.rules.submitted(id, body, team?.cpusMax ?? null);
    return body;
  }

  async query(ref: string, node = 'node-0'): Promise<string> {
    const answer = await this.ask(node, `asks for ${ref}`, (users) => users.query(ref));
    if (answer.status === 200 || answer.status === 404) return this.heard(ref, answer);
    return String(answer.status);
  }

  async cancel(ref: string, node = 'node-0'): Promise<string> {
    this.rules.cancelAsked(ref);
    const answer = await this.ask(node, `cancels ${ref}`, (users) => users.cancel(ref));
    return answer.status === 200 ? this.heardOfCancel(ref, answer) : String(answer.status);
  }

  private async ask(
    node: string,
    what: string,
    act: (users: UserService) => Promise<{ status: number; body: object }>,
  ): Promise<{ status: number; body: object }> {
    const users = this.running.get(node)?.users;
    if (!users) throw new Error(`${node} is down`);
    let answer: { status: number; body: object } | null = null;
    void act(users).then(
      (a) => {
        answer = a;
      },
      () => {
        answer = { status: 503, body: {} };
      },
    );
    while (answer === null) await this.clock.advance(5);
    const done = answer as { status: number; body: object };
    const status = (done.body as { status?: string }).status;
    this.trace(`user       ${what} at ${node}: ${done.status}${status ? ` ${status}` : ''}`);
    return done;
  }

  /** Every running task of a job, by the checker's own account. */
  tasksOn(ref: string): number {
    return this.rules.count((task) => splitTaskId(task)?.job === ref);
  }

  /**
   * Cancellations past their limit that still have tasks on machines count as broken, and so does a
   * job that was accepted and that no node can tell of.
   */
  async finish(): Promise<void> {
    this.rules.checkCancelled(this.clock.now());
    for (const ref of this.rules.acceptedJobs()) {
      const states: string[] = [];
      for (const { users } of this.running.values()) {
        void users.query(ref).then(
          ({ status, body }) =>
            states.push(status === 200 ? (body as { status: string }).status : `${status}`),
          () => {},
        );
      }
      await this.clock.advance(1500);
      if (!states.some((s) => s !== '503')) this.rules.breach(`forgotten: nobody answers for ${ref}`);
      for (const state of states) if (state !== '503') this.rules.told(ref, state, this.clock.now());
    }
  }
}
