/** One controller: takes users and workers, relays to the leader, and leads when elected. */
import { Admission } from '../api/admission.js';
import { requestListener } from '../api/http-router.js';
import { UserService } from '../api/user-service.js';
import { CloudClient } from '../cloud/client.js';
import type { Features } from '../config/features.js';
import type { OperatorSettings } from '../config/operators.js';
import { type Logger, errorMessage } from '../log/logger.js';
import type { MemberId } from '../model/ids.js';
import { PROTOCOL_VERSION } from '../model/protocol.js';
import { systemClock, runPeriodically } from '../model/time.js';
import { HttpTarget, NoSocketError } from '../net/http-client.js';
import { FrontServer } from '../net/server.js';
import { shareSockets, type SocketShares } from '../net/sockets.js';
import {
  type AnswerFrame,
  decodeCall,
  decodeCancellations,
  decodeUser,
  encodeCancellations,
  encodeProgress,
  FrameKind,
  type Ping,
} from '../peer/frames.js';
import { type RequestKind, PeerServer } from '../peer/link.js';
import { NO_SOCKET_STATUS, type RawCaller, RoutedCaller } from '../peer/routed-caller.js';
import { KeyValueStoreClient } from '../store/client.js';
import { limitProbe } from '../store/limit-probe.js';
import { StoreLimits } from '../store/store-limits.js';
import { encodeMembersReport, type MembersReport } from '../wire/members.js';
import type { Settings } from '../wire/settings.js';
import { readCommandReply } from '../wire/workers.js';
import { WorkerConnections } from '../workers/worker-connections.js';
import { ConfirmedCancellations } from '../core/confirmed-cancellations.js';
import { StoreConnectivityMonitor } from './store-connectivity.js';
import type { ControllerContext } from '../core/context.js';
import type { Failover } from '../leadership/failover/failover.js';
import { FAILURE_DETECTION_OFF_STATUS } from '../leadership/failover/detection-status.js';
import { HeartbeatRouter } from './heartbeat-router.js';
import { Leadership } from './leadership.js';
import { LoadMonitor } from './load-monitor.js';
import { MachineTypeCatalog } from './machine-type-catalog.js';
import { MemoryMonitor } from './memory-monitor.js';
import { type OwnState, PeerGroup } from './peer-group.js';
import { ProgressCache } from './progress-cache.js';
import { UserRouter } from './user-router.js';

const STATE_MS = 1000;
const CLOUD_MS = 4000;
const PROGRESS_MS = 1000;
/** Users' requests worked on at once. */
const MOST_SUBMISSIONS = 48;
const MOST_QUESTIONS = 96;
const HEADERS_MS = 10_000;
const REQUEST_MS = 15_000;
const IDLE_MS = 75_000;
/** The part of the sockets for direct calls that may be under way at once. */
const CALLS_SHARE = 0.25;

/** Wires the parts of a controller together and starts them. */
export class Controller {
  private readonly ctx: ControllerContext;
  private readonly leadership: Leadership;
  private readonly users: UserService;
  private readonly userRouter: UserRouter;
  private readonly heartbeats: HeartbeatRouter;
  private readonly peers: PeerGroup;
  private readonly progress: ProgressCache;
  private readonly targets: WorkerConnections;
  private readonly front: FrontServer;
  private readonly peerServer: PeerServer;
  private readonly admission: Admission;
  private readonly machineTypes: MachineTypeCatalog;
  private readonly connectivity: StoreConnectivityMonitor;

  /** Null: failure detection is off. */
  private failover: Failover | null = null;

  constructor(
    private readonly settings: Settings,
    ops: OperatorSettings,
    private readonly features: Features,
    private readonly log: Logger,
    random: () => number,
  ) {
    const clock = systemClock;
    const monitor = new LoadMonitor(clock);
    const shares = shareSockets(settings.maxSockets, settings.peers.length);
    this.targets = new WorkerConnections(shares.workers);
    this.connectivity = new StoreConnectivityMonitor(clock);
    this.progress = new ProgressCache(clock);
    const cancellations = new ConfirmedCancellations(clock, settings.cancellationLimit);
    const store = this.stateClient(shares);
    const limits = new StoreLimits(settings, clock, limitProbe(store, settings));
    if (settings.peers.length === 0) limits.allowSplitProgress();
    this.peers = new PeerGroup(settings.peers, clock, log, cancellations, this.ownState(), {
      heardOfLeader: (epoch) => this.leadership.onPeerLeading(epoch),
      allUpgraded: () => limits.allowSplitProgress(),
    });
    this.ctx = {
      member: settings.member,
      clock,
      log,
      settings,
      operators: ops,
      store,
      cloud: new CloudClient(new HttpTarget(settings.cloudAddress, shares.cloud), CLOUD_MS),
      workerClient: new RoutedCaller(this.directCaller(), this.peers.links, clock, () => monitor.load),
      random,
      machineTypes: new Map(),
      maxConcurrentWorkerCalls: Math.floor(shares.workers * CALLS_SHARE),
      load: () => monitor.load,
      storeLimits: limits,
      cancellations,
      allPeersSupport: (version) => this.peers.allSupport(version),
      peers: this.peers,
      prefetchedRecords: (prefix) => this.failover?.takePrefetchedRecords(prefix) ?? Promise.resolve(null),
    };
    this.machineTypes = new MachineTypeCatalog(this.ctx);
    this.users = new UserService(
      this.ctx,
      (id) => this.progress.of(id),
      () => 1 + this.peers.connected.length,
    );
    this.leadership = new Leadership(this.ctx, () => this.machineTypes.known());
    cancellations.onLearned((ids) => this.leadership.leader?.onCancellationsConfirmed(ids));
    const memory = new MemoryMonitor(clock, () => this.users.dropCaches());
    const most = { submission: MOST_SUBMISSIONS, query: MOST_QUESTIONS };
    this.admission = new Admission(clock, most, () => memory.scarce);
    this.userRouter = new UserRouter(this.users, this.admission, this.connectivity, this.peers, random);
    this.heartbeats = new HeartbeatRouter(this.ctx, this.leadership, this.peers);
    this.front = this.frontServer(shares);
    this.peerServer = this.serverForPeers(shares);
  }

  /** Listens, stands for election, and goes on until the process ends. */
  async run(): Promise<void> {
    await Promise.all([
      this.front.listen(this.settings.frontAddress),
      this.peerServer.listen(this.settings.peerAddress),
    ]);
    this.log.info(
      { front: this.settings.frontAddress, answerAloneMs: this.leadership.maxRenewalWithoutQuorum },
      'listening',
    );
    this.peers.start();
    await this.startFailover();
    this.leadership.start();
    void this.users.watch();
    this.machineTypes.run();
    const { clock } = this.ctx;
    runPeriodically(clock, PROGRESS_MS, () => this.tellProgress());
    if (this.log.isInfoEnabled)
      runPeriodically(clock, this.ctx.operators.log.summaryInterval, () => this.summarise());
  }

  /** Its code is loaded only where it is switched on. */
  private async startFailover(): Promise<void> {
    const feature = this.features.failover;
    if (feature === null) return;
    const [{ Failover }, { PeerTransport }] = await Promise.all([
      import('../leadership/failover/failover.js'),
      import('../leadership/failover/peer-transport.js'),
    ]);
    this.failover = new Failover({
      context: this.ctx,
      feature,
      transport: new PeerTransport(this.peers.links, this.ctx.clock),
      everyPeerHasSupported: (version) => this.peers.allHaveShownSupport(version),
      leadership: this.leadership,
      isStoreReachable: () => this.connectivity.isStoreReachable,
    });
    this.failover.start();
  }

  /** Hands over what this controller does and says goodbye; without failure detection there is nobody to say it to. */
  async leave(): Promise<void> {
    await this.failover?.leave();
  }

  private stateClient(shares: SocketShares): KeyValueStoreClient {
    const { storeAddress } = this.settings;
    return new KeyValueStoreClient(
      new HttpTarget(storeAddress, shares.state),
      new HttpTarget(storeAddress, shares.watches),
      STATE_MS,
      (answered) => this.connectivity.recordCall(answered),
    );
  }

  private directCaller(): RawCaller {
    return {
      call: async (verb, address, body, deadlineMs) => {
        const reply = await this.targets.call(verb, address, body, deadlineMs);
        return readCommandReply(reply.status, reply.body);
      },
    };
  }

  private ownState(): OwnState {
    return {
      ping: () => this.ping(),
      leading: () => this.leadership.leader?.epoch ?? null,
      leaderRecord: () => this.leadership.election.observedLeader,
    };
  }

  private frontServer(shares: SocketShares): FrontServer {
    const listener = requestListener({
      up: () => this.ctx.machineTypes.size > 0 && !this.connectivity.isPartitioned(this.peers.links),
      heartbeat: (body) => this.heartbeats.take(body),
      user: (verb, body) => this.userRouter.take(verb, body, true),
    });
    const limits = { sockets: shares.front, headersMs: HEADERS_MS, requestMs: REQUEST_MS, idleMs: IDLE_MS };
    return new FrontServer(listener, limits, this.log);
  }

  private serverForPeers(shares: SocketShares): PeerServer {
    const handler = {
      ping: () => this.ping(),
      progress: (payload: Buffer) => this.progress.store(payload),
      ask: (kind: RequestKind, payload: Buffer, from: MemberId) => this.answerPeer(kind, payload, from),
    };
    return new PeerServer(handler, shares.peers, this.log);
  }

  private ping(): Ping {
    return {
      member: this.ctx.member,
      isStoreReachable: this.connectivity.isStoreReachable,
      leadingEpoch: this.leadership.leader?.epoch ?? null,
      version: PROTOCOL_VERSION,
      load: this.ctx.load(),
    };
  }

  private async answerPeer(kind: RequestKind, payload: Buffer, from: MemberId): Promise<AnswerFrame> {
    const nothing: AnswerFrame = { status: 503, body: Buffer.alloc(0) };
    try {
      switch (kind) {
        case FrameKind.User:
          return await this.answerPeersUser(payload);
        case FrameKind.Cancelled:
          this.ctx.cancellations.learn(decodeCancellations(payload).cancellations);
          return { status: 200, body: encodeCancellations(this.peers.status()) };
        case FrameKind.Call:
          return await this.callForPeer(payload);
        case FrameKind.Membership:
          return await this.answerFailureDetector(payload);
        case FrameKind.Members:
          return { status: 200, body: encodeMembersReport(this.membersReport()) };
        default:
          return (await this.heartbeats.takeFromPeer(kind, payload, from)) ?? nothing;
      }
    } catch (error) {
      this.log.debug({ error: errorMessage(error) }, 'what a peer asked could not be done');
      return nothing;
    }
  }

  private async answerFailureDetector(payload: Buffer): Promise<AnswerFrame> {
    if (!this.failover) return { status: FAILURE_DETECTION_OFF_STATUS, body: Buffer.alloc(0) };
    const answer = await this.failover.handleMessage(payload);
    return answer ? { status: 200, body: Buffer.from(answer) } : { status: 503, body: Buffer.alloc(0) };
  }

  /** All controllers as an operator sees them. */
  private membersReport(): MembersReport {
    return {
      observer: this.ctx.member,
      version: PROTOCOL_VERSION,
      failureDetection: this.failover !== null,
      members: this.failover?.memberLines() ?? this.peers.lines(this.ctx.member),
      dropped: this.failover?.droppedMessages() ?? {},
    };
  }

  private async answerPeersUser(payload: Buffer): Promise<AnswerFrame> {
    const { verb, body } = decodeUser(payload);
    const answer = await this.userRouter.take(verb, Buffer.from(body), false);
    return { status: answer.status, body: Buffer.from(JSON.stringify(answer)) };
  }

  private async callForPeer(payload: Buffer): Promise<AnswerFrame> {
    const call = decodeCall(payload);
    try {
      const reply = await this.targets.call(call.verb, call.address, call.body, call.deadlineMs);
      return { status: reply.status, body: Buffer.from(JSON.stringify(reply.body ?? null)) };
    } catch (error) {
      if (error instanceof NoSocketError) return { status: NO_SOCKET_STATUS, body: Buffer.alloc(0) };
      throw error;
    }
  }

  private tellProgress(): void {
    const { leader } = this.leadership;
    if (!leader) return;
    for (const payload of encodeProgress(leader.progress())) {
      this.progress.store(payload);
      for (const link of this.peers.links) link.send(FrameKind.Progress, 0, payload);
    }
  }

  private summarise(): void {
    const cpu = process.cpuUsage();
    this.log.info(
      {
        ...this.leadership.leader?.summary(),
        ...this.failover?.summary(),
        leads: this.leadership.leader?.epoch ?? null,
        stateOk: this.connectivity.isStoreReachable,
        peers: this.peers.connected.length,
        lateMs: this.admission.lateMs,
        load: Math.round(this.ctx.load() * 100) / 100,
        refusals: this.userRouter.takeRefusals(),
        rssMb: Math.round(process.memoryUsage.rss() / 1e6),
        cpuMs: Math.round((cpu.user + cpu.system) / 1000),
      },
      'summary',
    );
  }
}
