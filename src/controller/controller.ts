/** A controller process: serves users and workers, forwards requests to the leader, and leads when elected. */
import { Admission } from '../api/admission.js';
import { createRequestListener } from '../api/http-router.js';
import { UnansweredQueries } from '../api/unanswered-queries.js';
import { UserService } from '../api/user-service.js';
import { CloudClient } from '../cloud/client.js';
import type { Features } from '../config/features.js';
import type { OperatorSettings } from '../config/operators.js';
import { ConfirmedCancellations } from '../core/confirmed-cancellations.js';
import type { ControllerContext } from '../core/context.js';
import { StepMonitor } from '../core/step-monitor.js';
import type { Failover } from '../leadership/failover/failover.js';
import type { Logger } from '../log/logger.js';
import { PROTOCOL_VERSION } from '../model/protocol.js';
import { runPeriodically, systemClock } from '../model/time.js';
import { HttpConnectionPool } from '../net/http-client.js';
import { FrontServer } from '../net/front-server.js';
import { allocateSockets, type SocketAllocation } from '../net/socket-allocation.js';
import { FrameKind } from '../peer/frames.js';
import { encodeProgress } from '../peer/job-progress.js';
import type { Ping } from '../peer/ping.js';
import { type DirectWorkerCaller, RoutedCaller } from '../peer/routed-caller.js';
import { PeerServer } from '../peer/server.js';
import { KeyValueStoreClient } from '../store/client.js';
import { createLimitProbe } from '../store/limit-probe.js';
import { StoreLimits } from '../store/store-limits.js';
import type { Settings } from '../wire/settings.js';
import { readCommandReply } from '../wire/workers.js';
import { WorkerConnections } from '../workers/worker-connections.js';
import { controllerSummary } from './controller-summary.js';
import { HeartbeatRouter } from './heartbeat-router.js';
import { Leadership } from './leadership.js';
import { LoadMonitor } from './load-monitor.js';
import { MachineTypeCatalog } from './machine-type-catalog.js';
import { MemoryMonitor } from './memory-monitor.js';
import { PeerGroup } from './peer-group.js';
import { PeerRequestHandler } from './peer-request-handler.js';
import { ProgressCache } from './progress-cache.js';
import { StoreConnectivityMonitor } from './store-connectivity-monitor.js';
import { UserRouter } from './user-router.js';

/** The timeout of a request to the key-value store. */
const STORE_TIMEOUT_MS = 1000;
/** The timeout of a request to the cloud API. */
const CLOUD_TIMEOUT_MS = 4000;
/** How often a leader publishes its task counts to the other controllers. */
const PROGRESS_INTERVAL_MS = 1000;
/** The maximum number of submissions from users that are processed concurrently. */
const MAX_CONCURRENT_SUBMISSION_COUNT = 48;
/** The maximum number of queries and cancellations from users that are processed concurrently. */
const MAX_CONCURRENT_QUERY_COUNT = 96;
/** The time within which a client of the front server must send a request's headers. */
const HEADERS_TIMEOUT_MS = 10_000;
/** The time within which a client of the front server must send a complete request. */
const REQUEST_TIMEOUT_MS = 15_000;
/** How long the front server keeps an idle connection open. */
const IDLE_TIMEOUT_MS = 75_000;
/** The fraction of the sockets for calls to workers that may be in use at the same time. */
const CONCURRENT_CALL_RATIO = 0.25;

/** The options of a controller. */
export interface ControllerOptions {
  readonly settings: Settings;
  readonly operators: OperatorSettings;
  readonly features: Features;
  readonly log: Logger;
  /** Returns a random number from 0 up to, but not including, 1. */
  readonly random: () => number;
}

/** Creates the components of a controller, connects them, and starts them. */
export class Controller {
  private readonly ctx: ControllerContext;
  private readonly connectivity: StoreConnectivityMonitor;
  private readonly progress: ProgressCache;
  private readonly workerConnections: WorkerConnections;
  private readonly peers: PeerGroup;
  private readonly machineTypes: MachineTypeCatalog;
  private readonly userService: UserService;
  private readonly leadership: Leadership;
  private readonly admission: Admission;
  private readonly unansweredQueries: UnansweredQueries;
  private readonly userRouter: UserRouter;
  private readonly heartbeatRouter: HeartbeatRouter;
  private readonly frontServer: FrontServer;
  private readonly peerServer: PeerServer;
  /** Null: failure detection is disabled, or not started yet. */
  private failover: Failover | null = null;

  constructor(private readonly options: ControllerOptions) {
    const { settings } = options;
    const clock = systemClock;
    const loadMonitor = new LoadMonitor(clock);
    const sockets = allocateSockets(settings.maxSockets, settings.peers.length);
    this.workerConnections = new WorkerConnections(sockets.workers);
    this.connectivity = new StoreConnectivityMonitor(clock);
    this.progress = new ProgressCache(clock);
    const cancellations = new ConfirmedCancellations(clock, settings.cancellationLimit);
    const store = this.createStoreClient(sockets);
    const storeLimits = new StoreLimits(settings, clock, createLimitProbe(store, settings));
    if (settings.peers.length === 0) storeLimits.allowSmallChunks();
    this.peers = this.createPeerGroup(cancellations, storeLimits);
    this.ctx = this.createContext({ sockets, loadMonitor, cancellations, store, storeLimits });
    this.machineTypes = new MachineTypeCatalog(this.ctx);
    this.userService = new UserService(
      this.ctx,
      (id) => this.progress.get(id),
      () => 1 + this.peers.connected.length,
    );
    this.leadership = new Leadership(this.ctx, () => this.machineTypes.whenAvailable());
    cancellations.onLearned((ids) => this.leadership.leader?.onCancellationsConfirmed(ids));
    this.admission = this.createAdmission();
    this.unansweredQueries = new UnansweredQueries(clock, options.log);
    this.userRouter = this.createUserRouter();
    this.heartbeatRouter = new HeartbeatRouter({
      context: this.ctx,
      leadership: this.leadership,
      peers: this.peers,
    });
    this.frontServer = this.createFrontServer(sockets);
    this.peerServer = this.createPeerServer(sockets);
  }

  /** Listens, joins the election, and resolves once all components run; they then run until the process ends. */
  async run(): Promise<void> {
    const { settings, log } = this.options;
    await Promise.all([
      this.frontServer.listen(settings.frontAddress),
      this.peerServer.listen(settings.peerAddress),
    ]);
    const { maxRenewalWithoutQuorum: maxRenewalWithoutQuorumMs } = this.leadership;
    log.info({ front: settings.frontAddress, maxRenewalWithoutQuorumMs }, 'listening');
    this.peers.start();
    await this.startFailover();
    this.leadership.start();
    void this.userService.watch();
    this.machineTypes.start();
    this.startPeriodicTasks();
  }

  /** Resigns the leadership and leaves the membership; without failure detection, this method does nothing. */
  async leave(): Promise<void> {
    await this.failover?.leave();
  }

  private startPeriodicTasks(): void {
    const { clock, operators } = this.ctx;
    const { log } = this.options;
    runPeriodically(clock, PROGRESS_INTERVAL_MS, () => this.publishProgress());
    if (log.isInfoEnabled) runPeriodically(clock, operators.log.summaryInterval, () => this.logSummary());
  }

  /** Starts failure detection if the feature is enabled; only then is the feature's code loaded. */
  private async startFailover(): Promise<void> {
    const feature = this.options.features.failover;
    if (feature === null) return;
    const [{ Failover }, { PeerTransport }] = await Promise.all([
      import('../leadership/failover/failover.js'),
      import('../leadership/failover/peer-transport.js'),
    ]);
    this.failover = new Failover({
      context: this.ctx,
      feature,
      transport: new PeerTransport(this.peers.links, this.ctx.clock),
      everyPeerHasSupported: (version) => this.peers.everyPeerHasSupported(version),
      leadership: this.leadership,
      isStoreReachable: () => this.connectivity.isStoreReachable,
    });
    this.failover.start();
  }

  private createContext(components: {
    readonly sockets: SocketAllocation;
    readonly loadMonitor: LoadMonitor;
    readonly cancellations: ConfirmedCancellations;
    readonly store: KeyValueStoreClient;
    readonly storeLimits: StoreLimits;
  }): ControllerContext {
    const { settings, operators, log, random } = this.options;
    const { sockets, loadMonitor, cancellations, store, storeLimits } = components;
    const clock = systemClock;
    const load = (): number => loadMonitor.load;
    return {
      member: settings.member,
      clock,
      log,
      settings,
      operators,
      store,
      cloud: new CloudClient(new HttpConnectionPool(settings.cloudAddress, sockets.cloud), CLOUD_TIMEOUT_MS),
      workerClient: new RoutedCaller(this.createDirectCaller(), this.peers.links, clock, load),
      random,
      machineTypes: new Map(),
      maxConcurrentWorkerCalls: Math.floor(sockets.workers * CONCURRENT_CALL_RATIO),
      load,
      storeLimits,
      steps: new StepMonitor(clock, log),
      cancellations,
      allPeersSupport: (version) => this.peers.allCandidatesSupport(version),
      peers: this.peers,
      takePrefetchedRecords: (prefix) =>
        this.failover?.takePrefetchedRecords(prefix) ?? Promise.resolve(null),
    };
  }

  private createStoreClient(sockets: SocketAllocation): KeyValueStoreClient {
    const { storeAddress } = this.options.settings;
    return new KeyValueStoreClient({
      http: new HttpConnectionPool(storeAddress, sockets.store),
      watchHttp: new HttpConnectionPool(storeAddress, sockets.storeWatches),
      timeoutMs: STORE_TIMEOUT_MS,
      onCallCompleted: (isAnswered) => this.connectivity.recordCall(isAnswered),
    });
  }

  private createPeerGroup(cancellations: ConfirmedCancellations, storeLimits: StoreLimits): PeerGroup {
    const { settings, log } = this.options;
    return new PeerGroup({
      peers: settings.peers,
      clock: systemClock,
      log,
      cancellations,
      localState: {
        ping: () => this.localPing(),
        leadingEpoch: () => this.leadership.leadingEpoch,
        observedLeader: () => this.leadership.election.observedLeader,
      },
      listener: {
        onPeerLeading: (epoch) => this.leadership.onPeerLeading(epoch),
        onAllUpgraded: () => storeLimits.allowSmallChunks(),
      },
    });
  }

  private createDirectCaller(): DirectWorkerCaller {
    return {
      call: async (verb, address, body, deadlineMs) => {
        const reply = await this.workerConnections.call(verb, address, body, deadlineMs);
        return readCommandReply(reply.status, reply.body);
      },
    };
  }

  private createAdmission(): Admission {
    const { clock } = this.ctx;
    const memory = new MemoryMonitor(clock, () => this.userService.evictIdleJobs());
    const limits = { submission: MAX_CONCURRENT_SUBMISSION_COUNT, query: MAX_CONCURRENT_QUERY_COUNT };
    return new Admission(clock, limits, () => memory.isScarce);
  }

  private createUserRouter(): UserRouter {
    const { userService, admission, unansweredQueries, connectivity, peers } = this;
    const { random, steps } = this.ctx;
    return new UserRouter({ userService, admission, unansweredQueries, connectivity, peers, random, steps });
  }

  private createFrontServer(sockets: SocketAllocation): FrontServer {
    const listener = createRequestListener({
      up: () => this.ctx.machineTypes.size > 0 && !this.connectivity.isPartitioned(this.peers.links),
      heartbeat: (body) => this.heartbeatRouter.handle(body),
      user: (verb, body) => this.userRouter.handle(verb, body, true),
    });
    const limits = {
      maxSockets: sockets.front,
      headersTimeoutMs: HEADERS_TIMEOUT_MS,
      requestTimeoutMs: REQUEST_TIMEOUT_MS,
      idleTimeoutMs: IDLE_TIMEOUT_MS,
    };
    return new FrontServer(listener, limits, this.options.log);
  }

  private createPeerServer(sockets: SocketAllocation): PeerServer {
    const { peers, progress, userRouter, heartbeatRouter, workerConnections } = this;
    const { member, log, cancellations } = this.ctx;
    const handler = new PeerRequestHandler({
      member,
      log,
      localPing: () => this.localPing(),
      failover: () => this.failover,
      peers,
      cancellations,
      progress,
      userRouter,
      heartbeatRouter,
      workerConnections,
    });
    return new PeerServer({ handler, maxSockets: sockets.peers, log });
  }

  private localPing(): Ping {
    return {
      member: this.ctx.member,
      isStoreReachable: this.connectivity.isStoreReachable,
      leadingEpoch: this.leadership.leadingEpoch,
      version: PROTOCOL_VERSION,
      load: this.ctx.load(),
    };
  }

  /**
   * Publishes the leader's task counts to all controllers, for display to users; does nothing unless this controller
   * leads.
   */
  private publishProgress(): void {
    const { leader } = this.leadership;
    if (!leader) return;
    for (const payload of encodeProgress(leader.progress())) {
      this.progress.update(payload);
      for (const link of this.peers.links) link.send(FrameKind.Progress, 0, payload);
    }
  }

  private logSummary(): void {
    const { leadership, failover, connectivity, peers, admission, userService, unansweredQueries } = this;
    const sources = { leadership, failover, connectivity, peers, admission, userService, unansweredQueries };
    const { steps } = this.ctx;
    this.options.log.info(controllerSummary({ ...sources, steps, load: this.ctx.load() }), 'summary');
  }
}
