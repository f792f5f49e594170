/** The controllers of a simulated site, and the simulated network between them. */
import { PeerSupport } from '@plumyoke/membership';
import { SimulatedNetwork } from '@plumyoke/simulation';
import { UserService } from '../../src/api/user-service.js';
import { ConfirmedCancellations } from '../../src/core/confirmed-cancellations.js';
import type { ControllerContext, PeerStatusSource } from '../../src/core/context.js';
import { StepMonitor } from '../../src/core/step-monitor.js';
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
import { createLimitProbe } from '../../src/store/limit-probe.js';
import { StoreLimits } from '../../src/store/store-limits.js';
import { START_WITHHELD_MESSAGE } from '../../src/workers/command-issuer.js';
import type { MemberEntry } from '../../src/wire/members.js';
import type { Settings } from '../../src/wire/settings.js';
import { ProcessClock } from './clock.js';
import { CANCEL_S, siteSettings, SMALL_SITE, MACHINE_TYPES } from './site-setup.js';
import { SimulatedMachines } from './simulated-machines.js';
import { type HeartbeatAnswer, type FakeWorker } from './fake-worker.js';

/** The one-way latency between two controllers. */
const PEER_LATENCY_MS = 3;

/** The components of a controller whose simulated process runs. */
interface RunningController {
  /** The failure detection among controllers; null if the controller was started without failure detection. */
  readonly failover: Failover | null;
  readonly clock: ProcessClock;
  readonly leadership: Leadership;
  readonly users: UserService;
  readonly cancellations: ConfirmedCancellations;
}

/** The controllers of a site, which tests can start, kill, pause and partition. */
export class SimulatedControllers extends SimulatedMachines {
  /** The running controllers, by node name. */
  protected readonly running = new Map<string, RunningController>();
  /** The fraction of heartbeats of which a duplicate arrives 2 to 40 s later, at the node that leads at that time. */
  duplicateHeartbeatRate = 0;
  /** Nodes that cannot exchange messages with other nodes. */
  readonly isolatedNodes = new Set<string>();
  /** Whether nodes that start from now on begin without machine types. */
  machineTypesUnknown = false;
  /** How many dependencies the controllers that start from now on allow all open jobs together. */
  maxDependencyCount = Infinity;
  /** Nodes that run an earlier version, which does not exchange cancellations with its peers. */
  readonly earlierVersionNodes = new Set<string>();
  /** The protocol version of all nodes that are not in `earlierVersionNodes`. */
  version = PROTOCOL_VERSION;
  /** The failure detection settings of nodes that start from now on; null: no failure detection. */
  failover: FailoverFeature | null = null;
  readonly peerNetwork: SimulatedNetwork;
  /** The fraction of processor time that every node reports as used. */
  load = 0;

  /** Called for every line that a controller logs at the levels `error` and `info`. */
  onLogLine: (level: 'error' | 'info', text: string, fields: object) => void = () => {};

  /**
   * The controllers' log. A withheld start is recorded as a violation: only the last check before a start command is
   * sent prevented a start that violates a placement rule.
   */
  private readonly log: Logger = {
    ...silentLogger,
    error: (fields, text) => {
      this.onLogLine('error', text, fields);
      if (text === START_WITHHELD_MESSAGE) this.rules.recordViolation(`withheld: ${JSON.stringify(fields)}`);
    },
    info: (fields, text) => this.onLogLine('info', text, fields),
  };

  constructor(size = SMALL_SITE) {
    super(size);
    this.peerNetwork = new SimulatedNetwork(this.clock, this.random);
  }

  /** Starts the controller process of a node with empty memory. */
  start(name: string): void {
    const clock = new ProcessClock(this.clock);
    const settings = this.settingsFor(name);
    const store = this.store.clientFor(name, clock);
    const limits = new StoreLimits(settings, clock, createLimitProbe(store, settings));
    if (this.earlierVersionNodes.size === 0) limits.allowSmallChunks();
    const cancellations = new ConfirmedCancellations(clock, seconds(CANCEL_S));
    const context: ControllerContext = {
      member: name as MemberId,
      clock,
      log: this.log,
      settings,
      operators: defaultOperators(),
      store,
      cloud: this.cloud.clientFor(clock),
      workerClient: this.workerClientFor(name, clock),
      random: this.random,
      machineTypes: new Map(
        this.machineTypesUnknown ? [] : (this.size.types ?? MACHINE_TYPES).map((type) => [type.id, type]),
      ),
      maxConcurrentWorkerCalls: 64,
      load: () => this.load,
      storeLimits: limits,
      steps: new StepMonitor(clock, this.log),
      cancellations,
      allPeersSupport: (version) =>
        version <= this.version && !this.nodes.some((other) => this.earlierVersionNodes.has(other)),
      peers: this.createPeerStatusSource(name, clock),
      takePrefetchedRecords: (prefix) =>
        this.running.get(name)?.failover?.takePrefetchedRecords(prefix) ?? Promise.resolve(null),
    };
    const leadership = new Leadership(context, () => Promise.resolve());
    const failover = this.createFailover(name, context, leadership, clock);
    this.running.set(name, {
      failover,
      clock,
      leadership,
      cancellations,
      users: new UserService(
        context,
        () => null,
        () => this.running.size,
        this.maxDependencyCount,
      ),
    });
    cancellations.onLearned((ids) => {
      leadership.leader?.onCancellationsConfirmed(ids);
      const confirmed = cancellations.list(ids);
      for (const other of this.nodes) {
        if (other === name || !this.canExchangePeerMessages(name, other)) continue;
        this.clock.after(PEER_LATENCY_MS, () => {
          const receiver = this.running.get(other);
          receiver?.clock.whenRunning(() => receiver.cancellations.learn(confirmed));
        });
      }
    });
    this.trace(`${name}     starts`);
    failover?.start();
    leadership.start();
  }

  /** Returns the settings with which a node starts; they name the other nodes only with failure detection. */
  protected settingsFor(name: string): Settings {
    return this.failover ? this.settingsWithPeers(name) : siteSettings(name, this.size);
  }

  protected settingsWithPeers(name: string): Settings {
    const others = this.nodes.filter((other) => other !== name);
    const peers = others.map((member) => ({ member: member as MemberId, address: '127.0.0.1:2' }));
    return { ...siteSettings(name, this.size), peers };
  }

  protected createFailover(
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
      isStoreReachable: () => !this.store.isUnavailable && !this.store.refusedClients.has(name),
      everyPeerHasSupported: () => this.earlierVersionNodes.size === 0,
      transport: {
        support: (peer) =>
          this.earlierVersionNodes.has(peer) ? PeerSupport.Unsupported : PeerSupport.Supported,
        request: (to, payload, deadlineMs) =>
          this.peerNetwork.request(
            name,
            this.isolatedNodes.has(name) || this.isolatedNodes.has(to) ? '' : to,
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

  /**
   * Shuts a node down gracefully: the controller hands over and announces its departure, then its process ends. A node
   * that was started without failure detection keeps running.
   */
  leave(name: string): void {
    this.trace(`${name}     leaves`);
    void this.running
      .get(name)
      ?.failover?.leave()
      .then(() => this.crash(name));
  }

  /**
   * Returns the list of members as a node shows the list to operators; empty without failure detection or if the node
   * is not running.
   */
  members(name: string): MemberEntry[] {
    return this.running.get(name)?.failover?.memberEntries() ?? [];
  }

  /**
   * Returns whether two controllers exchange cancellations and status: both run a version that supports this, and
   * neither is isolated.
   */
  protected canExchangePeerMessages(first: string, second: string): boolean {
    return ![first, second].some(
      (name) => this.isolatedNodes.has(name) || this.earlierVersionNodes.has(name) || !this.running.has(name),
    );
  }

  protected createPeerStatusSource(name: string, clock: ProcessClock): PeerStatusSource {
    const requestStatus = (other: string, deadlineMs: number): Promise<PeerStatus | null> =>
      new Promise((resolve) => {
        clock.after(deadlineMs, () => resolve(null));
        if (!this.canExchangePeerMessages(name, other)) return;
        this.clock.after(PEER_LATENCY_MS, () => {
          const receiver = this.running.get(other);
          receiver?.clock.whenRunning(() => {
            const status: PeerStatus = {
              uptime: receiver.cancellations.uptime,
              leadingEpoch: receiver.leadership.leader?.epoch ?? null,
              cancellations: receiver.cancellations.list(),
            };
            clock.after(PEER_LATENCY_MS, () => resolve(status));
          });
        });
      });
    return {
      collectStatus: (deadlineMs) =>
        Promise.all(
          this.nodes.filter((other) => other !== name).map((other) => requestStatus(other, deadlineMs)),
        ),
    };
  }

  /** Starts the controllers of all nodes. */
  startAll(): void {
    for (const name of this.nodes) this.start(name);
  }

  /** Kills the controller process of a node; without effect if none runs. */
  crash(name: string): void {
    const controller = this.running.get(name);
    if (!controller) return;
    controller.clock.isAlive = false;
    this.running.delete(name);
    this.peerNetwork.detach(name);
    this.trace(`${name}     crashes`);
  }

  /** Pauses the controller process of a node for `seconds`, while the process's clock continues. */
  pause(name: string, seconds: number): void {
    const clock = this.running.get(name)?.clock;
    if (!clock) return;
    this.trace(`${name}     stands still`);
    clock.pause();
    this.clock.after(seconds * 1000, () => {
      this.trace(`${name}     goes on`);
      clock.resume();
    });
  }

  /** The node that leads with the highest epoch, isolated nodes excluded; undefined if none leads. */
  get leader(): string | undefined {
    return this.leaderSeenFrom(null);
  }

  /**
   * Returns the leader with the highest epoch among `node` and the nodes that `node` can exchange messages with; with
   * `node` null, among all nodes that are not isolated. Returns undefined if none of these nodes leads.
   */
  protected leaderSeenFrom(node: string | null): string | undefined {
    const epoch = (name: string): number => this.running.get(name)?.leadership.leader?.epoch ?? 0;
    return this.nodes
      .filter((name) => epoch(name) > 0)
      .filter(
        (name) =>
          name === node || !(this.isolatedNodes.has(name) || (node !== null && this.isolatedNodes.has(node))),
      )
      .sort((left, right) => epoch(right) - epoch(left))[0];
  }

  isLeading(node: string): boolean {
    return this.running.get(node)?.leadership.leader != null;
  }

  /** The number of machines in the leader's fleet; 0 without a leader. */
  get fleetSize(): number {
    const summary = this.running.get(this.leader ?? '')?.leadership.leader?.summary() as
      { workers: number } | undefined;
    return summary?.workers ?? 0;
  }

  isRunning(node: string): boolean {
    return this.running.has(node);
  }

  /** Delivers a duplicate of a machine's current heartbeat after a delay, to the node that leads at that time. */
  duplicateHeartbeatLater(id: MachineId, delayS: number): void {
    const heartbeat = this.worker(id).peekHeartbeat();
    this.clock.after(delayS * 1000, () => {
      this.trace(`network    delivers a copy of what ${id} said ${delayS} s ago`);
      this.deliverDuplicate(heartbeat);
    });
  }

  protected deliverDuplicate(heartbeat: Heartbeat): void {
    const name = this.leader;
    if (name) void this.running.get(name)?.leadership.handleHeartbeat(heartbeat, name as MemberId);
  }

  override heartbeat(
    worker: FakeWorker,
    node: string,
    heartbeat: Heartbeat,
  ): Promise<HeartbeatAnswer | null> {
    if (this.duplicateHeartbeatRate > 0 && this.random() < this.duplicateHeartbeatRate) {
      this.clock.after(2000 + 38_000 * this.random(), () => this.deliverDuplicate(heartbeat));
    }
    return new Promise((resolve) => {
      this.clock.after(4000, () => resolve(null));
      if (this.outboundPartitioned.has(worker.machine.id)) return;
      const isCut = (name: string): boolean => this.cutLinks.has(`${name} ${worker.machine.id}`);
      if (isCut(node) || !this.running.has(node)) {
        if (!isCut(node)) this.clock.after(2, () => resolve(null));
        return;
      }
      const clock = this.running.get(node)?.clock;
      this.clock.after(3, () =>
        clock?.whenRunning(() => {
          // A follower forwards the heartbeat to the leader that the follower can reach.
          const receivingLeadership = this.running.get(node)?.leadership;
          const leaderName = receivingLeadership?.leader ? node : this.leaderSeenFrom(node);
          const leader = this.running.get(leaderName ?? '');
          const canReceiveAnswer = !this.inboundPartitioned.has(worker.machine.id);
          if (!leader) {
            if (!canReceiveAnswer) return;
            resolve({ status: 503, token: 0 as HeartbeatAnswer['token'], orders: [] });
            return;
          }
          const handle = async (): Promise<void> => {
            const answer = await leader.leadership.handleHeartbeat(heartbeat, node as MemberId);
            if (!canReceiveAnswer) return;
            this.clock.after(2, () =>
              resolve(
                answer?.kind === 'commands'
                  ? { status: 200, token: answer.token, orders: answer.commands }
                  : { status: 503, token: 0 as FencingToken, orders: [] },
              ),
            );
          };
          leader.clock.whenRunning(() => void handle());
        }),
      );
    });
  }
}
