/** The controllers of a stand-in site. */
import { PeerSupport } from '@plumyoke/membership';
import { SimulatedNetwork } from '@plumyoke/simulation';
import { UserService } from '../../src/api/user-service.js';
import { ConfirmedCancellations } from '../../src/core/confirmed-cancellations.js';
import type { ControllerContext, PeerStatusSource } from '../../src/core/context.js';
import { Failover } from '../../src/leadership/failover/failover.js';
import { Leadership } from '../../src/controller/leadership.js';
import type { FailoverFeature } from '../../src/config/features.js';
import { defaultOperators } from '../../src/config/operators.js';
import { type Logger, silentLogger } from '../../src/log/logger.js';
import type { MachineId, MemberId, FencingToken } from '../../src/model/ids.js';
import type { Heartbeat } from '../../src/model/heartbeat.js';
import { PROTOCOL_VERSION } from '../../src/model/protocol.js';
import { seconds } from '../../src/model/time.js';
import type { PeerStatus } from '../../src/peer/peer-status.js';
import { limitProbe } from '../../src/store/limit-probe.js';
import { StoreLimits } from '../../src/store/store-limits.js';
import { START_WITHHELD } from '../../src/workers/command-issuer.js';
import type { MemberLine } from '../../src/wire/members.js';
import type { Settings } from '../../src/wire/settings.js';
import { ProcessClock } from './clock.js';
import { CANCEL_S, settingsOf, SMALL, TYPES } from './site-setup.js';
import { SiteMachines } from './site-workers.js';
import { type HeartbeatAnswer, type FakeWorker } from './fake-worker.js';

/** One way between two controllers. */
const PEER_MS = 3;

interface Running {
  /** Null: the site runs without failure detection. */
  readonly failover: Failover | null;
  readonly clock: ProcessClock;
  readonly leadership: Leadership;
  readonly users: UserService;
  readonly cancellations: ConfirmedCancellations;
}

/** Controllers that start, end, stand still and are cut off from each other. */
export class SiteNodes extends SiteMachines {
  protected readonly running = new Map<string, Running>();
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
  /** The share of its processor time that each node uses. */
  load = 0;

  /** A controller that had to withhold an order would have broken a rule without that check: no test may pass. */
  private readonly log: Logger = {
    ...silentLogger,
    error: (fields, text) => {
      if (text === START_WITHHELD) this.rules.breach(`withheld: ${JSON.stringify(fields)}`);
    },
  };

  constructor(size = SMALL) {
    super(size);
    this.peerNetwork = new SimulatedNetwork(this.clock, this.random);
  }

  start(name: string): void {
    const clock = new ProcessClock(this.clock);
    const settings = this.failover ? this.settingsWithSiblings(name) : settingsOf(name, this.size);
    const store = this.state.for(name, clock);
    const limits = new StoreLimits(settings, clock, limitProbe(store, settings));
    if (this.old.size === 0) limits.allowSplitProgress();
    const cancellations = new ConfirmedCancellations(clock, seconds(CANCEL_S));
    const ctx: ControllerContext = {
      member: name as MemberId,
      clock,
      log: this.log,
      settings,
      operators: defaultOperators(),
      store,
      cloud: this.cloud.for(clock),
      workerClient: this.callerFor(name, clock),
      random: this.random,
      machineTypes: new Map(this.typesUnknown ? [] : (this.size.types ?? TYPES).map((t) => [t.id, t])),
      maxConcurrentWorkerCalls: 64,
      load: () => this.load,
      storeLimits: limits,
      cancellations,
      allPeersSupport: (version) =>
        version <= this.version && !this.nodes.some((other) => this.old.has(other)),
      peers: this.siblingsOf(name, clock),
      prefetchedRecords: (prefix) =>
        this.running.get(name)?.failover?.takePrefetchedRecords(prefix) ?? Promise.resolve(null),
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
      leadership.leader?.onCancellationsConfirmed(ids);
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
    leadership.start();
  }

  protected settingsWithSiblings(name: string): Settings {
    const others = this.nodes.filter((other) => other !== name);
    const siblings = others.map((member) => ({ member: member as MemberId, address: '127.0.0.1:2' }));
    return { ...settingsOf(name, this.size), peers: siblings };
  }

  protected failoverOf(
    name: string,
    context: ControllerContext,
    leadership: Leadership,
    clock: ProcessClock,
  ): Failover | null {
    if (this.failover === null) return null;
    const failover = new Failover({
      context,
      feature: this.failover,
      leadership,
      isStoreReachable: () => !this.state.outage && !this.state.refused.has(name),
      everyPeerHasSupported: () => this.old.size === 0,
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
    this.peerNetwork.attach(name, {
      clock,
      handler: (payload) => failover.handleMessage(Buffer.from(payload)),
    });
    return failover;
  }

  /** The node hands over and says goodbye, then its process ends. */
  leave(name: string): void {
    this.trace(`${name}     leaves`);
    void this.running
      .get(name)
      ?.failover?.leave()
      .then(() => this.crash(name));
  }

  /** What a node's operator is shown. */
  members(name: string): MemberLine[] {
    return this.running.get(name)?.failover?.memberLines() ?? [];
  }

  /** Whether cancellations pass between two controllers: both know of them and nothing cuts them off. */
  protected hears(a: string, b: string): boolean {
    return ![a, b].some((name) => this.alone.has(name) || this.old.has(name) || !this.running.has(name));
  }

  protected siblingsOf(name: string, clock: ProcessClock): PeerStatusSource {
    const ask = (other: string, deadlineMs: number): Promise<PeerStatus | null> =>
      new Promise((resolve) => {
        clock.after(deadlineMs, () => resolve(null));
        if (!this.hears(name, other)) return;
        this.clock.after(PEER_MS, () => {
          const to = this.running.get(other);
          to?.clock.whenRunning(() => {
            const word: PeerStatus = {
              uptime: to.cancellations.uptime,
              leadingEpoch: to.leadership.leader?.epoch ?? null,
              cancellations: to.cancellations.list(),
            };
            clock.after(PEER_MS, () => resolve(word));
          });
        });
      });
    return {
      collectStatus: (deadlineMs) =>
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
  protected leaderSeenFrom(node: string | null): string | undefined {
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
      { workers: number } | undefined;
    return summary?.workers ?? 0;
  }

  isRunning(node: string): boolean {
    return this.running.has(node);
  }

  /** What the machine says now comes once more, so much later, through the node that leads then. */
  copyLater(id: MachineId, s: number): void {
    const heartbeat = this.worker(id).copy();
    this.clock.after(s * 1000, () => {
      this.trace(`network    delivers a copy of what ${id} said ${s} s ago`);
      this.deliverCopy(heartbeat);
    });
  }

  protected deliverCopy(heartbeat: Heartbeat): void {
    const name = this.leader;
    if (name) void this.running.get(name)?.leadership.handleHeartbeat(heartbeat, name as MemberId);
  }

  override heartbeat(
    worker: FakeWorker,
    node: string,
    heartbeat: Heartbeat,
  ): Promise<HeartbeatAnswer | null> {
    if (this.copyShare > 0 && this.random() < this.copyShare) {
      this.clock.after(2000 + 38_000 * this.random(), () => this.deliverCopy(heartbeat));
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
            const answer = await leader.leadership.handleHeartbeat(heartbeat, node as MemberId);
            if (!reached) return;
            this.clock.after(2, () =>
              resolve(
                answer?.kind === 'commands'
                  ? { status: 200, token: answer.token, orders: answer.commands }
                  : { status: 503, token: 0 as FencingToken, orders: [] },
              ),
            );
          };
          leader.clock.whenRunning(() => void take());
        }),
      );
    });
  }
}
