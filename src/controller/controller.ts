/** One controller: takes users and workers, relays to the leader, and leads when elected. */
import { Admission } from '../api/admission.js';
import { requestListener } from '../api/http-router.js';
import { UserService } from '../api/user-service.js';
import { CloudClient } from '../cloud/client.js';
import type { Features } from '../config/features.js';
import type { Operators } from '../config/operators.js';
import { type Log, reason } from '../log/logger.js';
import type { MemberId } from '../model/ids.js';
import { PROTOCOL_VERSION } from '../model/protocol.js';
import { realClock, repeat } from '../model/time.js';
import { HttpTarget, NoSocket } from '../net/http-client.js';
import { FrontServer } from '../net/server.js';
import { shareSockets, type SocketShares } from '../net/sockets.js';
import {
  type AnswerFrame,
  decodeCall,
  decodeCancellations,
  decodeUser,
  encodeCancellations,
  encodeProgress,
  Kind,
  type Ping,
} from '../peer/frames.js';
import { type Asked, PeerServer } from '../peer/link.js';
import { NO_SOCKET_STATUS, type RawCaller, RoutedCaller } from '../peer/routed-caller.js';
import { StateClient } from '../store/client.js';
import { limitProbe } from '../store/limit-probe.js';
import { StateLimits } from '../store/store-limits.js';
import { encodeMembersReport, type MembersReport } from '../wire/members.js';
import type { Settings } from '../wire/settings.js';
import { readCommandReply } from '../wire/workers.js';
import { WorkerTargets } from '../workers/worker-connections.js';
import { Cancellations } from '../core/confirmed-cancellations.js';
import { ConnectivityMonitor } from './store-connectivity.js';
import type { NodeContext } from '../core/context.js';
import type { Failover } from '../leadership/failover/failover.js';
import { DETECTION_OFF_STATUS } from '../leadership/failover/detection-status.js';
import { HeartbeatRouter } from './heartbeat-router.js';
import { Leadership } from './leadership.js';
import { LoadMonitor } from './load-monitor.js';
import { MachineTypeCatalogue } from './machine-type-catalog.js';
import { MemoryMonitor } from './memory-monitor.js';
import { type OwnState, PeerGroup } from './peer-group.js';
import { ProgressBoard } from './progress-cache.js';
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
export class Node {
  private readonly ctx: NodeContext;
  private readonly leadership: Leadership;
  private readonly users: UserService;
  private readonly userRouter: UserRouter;
  private readonly heartbeats: HeartbeatRouter;
  private readonly peers: PeerGroup;
  private readonly progress: ProgressBoard;
  private readonly targets: WorkerTargets;
  private readonly front: FrontServer;
  private readonly peerServer: PeerServer;
  private readonly admission: Admission;
  private readonly machineTypes: MachineTypeCatalogue;
  private readonly connectivity: ConnectivityMonitor;

  /** Null: failure detection is off. */
  private failover: Failover | null = null;

  constructor(
    private readonly settings: Settings,
    ops: Operators,
    private readonly features: Features,
    private readonly log: Log,
    random: () => number,
  ) {
    const clock = realClock;
    const monitor = new LoadMonitor(clock);
    const shares = shareSockets(settings.sockets, settings.siblings.length);
    this.targets = new WorkerTargets(shares.workers);
    this.connectivity = new ConnectivityMonitor(clock);
    this.progress = new ProgressBoard(clock);
    const cancellations = new Cancellations(clock, settings.cancelWithin);
    const store = this.stateClient(shares);
    const limits = new StateLimits(settings, clock, limitProbe(store, settings));
    if (settings.siblings.length === 0) limits.allowSplitProgress();
    this.peers = new PeerGroup(settings.siblings, clock, log, cancellations, this.ownState(), {
      heardOfLeader: (epoch) => this.leadership.heardOf(epoch),
      allUpgraded: () => limits.allowSplitProgress(),
    });
    this.ctx = {
      member: settings.member,
      clock,
      log,
      settings,
      ops,
      store,
      cloud: new CloudClient(new HttpTarget(settings.cloudAddress, shares.cloud), CLOUD_MS),
      workers: new RoutedCaller(this.directCaller(), this.peers.links, clock, () => monitor.load),
      random,
      types: new Map(),
      workerCalls: Math.floor(shares.workers * CALLS_SHARE),
      load: () => monitor.load,
      limits,
      cancellations,
      allSpeak: (version) => this.peers.allSpeak(version),
      siblings: this.peers,
      readAhead: (prefix) => this.failover?.readAhead(prefix) ?? Promise.resolve(null),
    };
    this.machineTypes = new MachineTypeCatalogue(this.ctx);
    this.users = new UserService(
      this.ctx,
      (id) => this.progress.of(id),
      () => 1 + this.peers.alive.length,
    );
    this.leadership = new Leadership(this.ctx, () => this.machineTypes.known());
    cancellations.onLearned((ids) => this.leadership.leader?.cancelled(ids));
    const memory = new MemoryMonitor(clock, () => this.users.shedCaches());
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
      this.front.listen(this.settings.front),
      this.peerServer.listen(this.settings.clusterListen),
    ]);
    this.log.info({ front: this.settings.front, answerAloneMs: this.leadership.answerAloneMs }, 'listening');
    this.peers.start();
    await this.startFailover();
    this.leadership.run();
    void this.users.watch();
    this.machineTypes.run();
    const { clock } = this.ctx;
    repeat(clock, PROGRESS_MS, () => this.tellProgress());
    if (this.log.tellsInfo) repeat(clock, this.ctx.ops.log.summary_s * 1000, () => this.summarise());
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
      allHaveSpoken: (version) => this.peers.allHaveSpoken(version),
      leadership: this.leadership,
      stateOk: () => this.connectivity.stateOk,
    });
    this.failover.start();
  }

  /** Hands over what this controller does and says goodbye; without failure detection there is nobody to say it to. */
  async leave(): Promise<void> {
    await this.failover?.leave();
  }

  private stateClient(shares: SocketShares): StateClient {
    const { stateAddress } = this.settings;
    return new StateClient(
      new HttpTarget(stateAddress, shares.state),
      new HttpTarget(stateAddress, shares.watches),
      STATE_MS,
      (answered) => this.connectivity.stateAnswered(answered),
    );
  }

  private directCaller(): RawCaller {
    return {
      call: async (verb, address, body, deadlineMs) => {
        const reply = await this.targets.raw(verb, address, body, deadlineMs);
        return readCommandReply(reply.status, reply.body);
      },
    };
  }

  private ownState(): OwnState {
    return {
      ping: () => this.ping(),
      leading: () => this.leadership.leader?.epoch ?? null,
      leaderRecord: () => this.leadership.election.leader,
    };
  }

  private frontServer(shares: SocketShares): FrontServer {
    const listener = requestListener({
      up: () => this.ctx.types.size > 0 && !this.connectivity.cutOff(this.peers.links),
      heartbeat: (body) => this.heartbeats.take(body),
      user: (verb, body) => this.userRouter.take(verb, body, true),
    });
    const limits = { sockets: shares.front, headersMs: HEADERS_MS, requestMs: REQUEST_MS, idleMs: IDLE_MS };
    return new FrontServer(listener, limits, this.log);
  }

  private serverForPeers(shares: SocketShares): PeerServer {
    const handler = {
      ping: () => this.ping(),
      progress: (payload: Buffer) => this.progress.take(payload),
      ask: (kind: Asked, payload: Buffer, from: MemberId) => this.answerPeer(kind, payload, from),
    };
    return new PeerServer(handler, shares.peers, this.log);
  }

  private ping(): Ping {
    return {
      member: this.ctx.member,
      stateOk: this.connectivity.stateOk,
      leading: this.leadership.leader?.epoch ?? null,
      version: PROTOCOL_VERSION,
      load: this.ctx.load(),
    };
  }

  private async answerPeer(kind: Asked, payload: Buffer, from: MemberId): Promise<AnswerFrame> {
    const nothing: AnswerFrame = { status: 503, body: Buffer.alloc(0) };
    try {
      switch (kind) {
        case Kind.User:
          return await this.answerPeersUser(payload);
        case Kind.Cancelled:
          this.ctx.cancellations.learn(decodeCancellations(payload).told);
          return { status: 200, body: encodeCancellations(this.peers.word()) };
        case Kind.Call:
          return await this.callForPeer(payload);
        case Kind.Membership:
          return await this.answerFailureDetector(payload);
        case Kind.Members:
          return { status: 200, body: encodeMembersReport(this.membersReport()) };
        default:
          return (await this.heartbeats.takeFromPeer(kind, payload, from)) ?? nothing;
      }
    } catch (error) {
      this.log.debug({ error: reason(error) }, 'what a peer asked could not be done');
      return nothing;
    }
  }

  private async answerFailureDetector(payload: Buffer): Promise<AnswerFrame> {
    if (!this.failover) return { status: DETECTION_OFF_STATUS, body: Buffer.alloc(0) };
    const answer = await this.failover.handle(payload);
    return answer ? { status: 200, body: Buffer.from(answer) } : { status: 503, body: Buffer.alloc(0) };
  }

  /** All controllers as an operator sees them. */
  private membersReport(): MembersReport {
    return {
      observer: this.ctx.member,
      version: PROTOCOL_VERSION,
      failureDetection: this.failover !== null,
      members: this.failover?.lines() ?? this.peers.lines(this.ctx.member),
      dropped: this.failover?.dropped() ?? {},
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
      const reply = await this.targets.raw(call.verb, call.address, call.body, call.deadlineMs);
      return { status: reply.status, body: Buffer.from(JSON.stringify(reply.body ?? null)) };
    } catch (error) {
      if (error instanceof NoSocket) return { status: NO_SOCKET_STATUS, body: Buffer.alloc(0) };
      throw error;
    }
  }

  private tellProgress(): void {
    const { leader } = this.leadership;
    if (!leader) return;
    for (const payload of encodeProgress(leader.progress())) {
      this.progress.take(payload);
      for (const link of this.peers.links) link.send(Kind.Progress, 0, payload);
    }
  }

  private summarise(): void {
    const cpu = process.cpuUsage();
    this.log.info(
      {
        ...this.leadership.leader?.summary(),
        ...this.failover?.summary(),
        leads: this.leadership.leader?.epoch ?? null,
        stateOk: this.connectivity.stateOk,
        peers: this.peers.alive.length,
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
