/** Builds the parts of a leader, in the order in which they depend on each other. */
import { Mutex } from 'async-mutex';
import type { ControllerContext, LeaderContext } from '../core/context.js';
import { type FleetListener, FleetManager } from '../fleet/fleet-manager.js';
import { Lifetimes } from '../forecast/lifetimes.js';
import type { LeaseValidity } from '../leadership/lease.js';
import type { LeadershipTerm } from '../leadership/term.js';
import { DecisionLog } from '../log/decision-log.js';
import type { Heartbeat } from '../model/heartbeat.js';
import { TokenBucket } from '../net/token-bucket.js';
import { DependencyGraph } from '../scheduler/dependency-graph.js';
import { JobStore } from '../scheduler/job-store.js';
import { SlackFactors } from '../scheduler/slack-factors.js';
import { SloTargets } from '../scheduler/slo-targets.js';
import { CommandDispatcher } from '../workers/command-dispatcher.js';
import { CommandIssuer } from '../workers/command-issuer.js';
import { WorkerFailureDetector } from '../workers/failure-detector.js';
import type { Worker } from '../workers/state/worker.js';
import { WorkerRegistry } from '../workers/state/worker-registry.js';
import { ChunkResizer } from './chunk-resizer.js';
import { type CommitListener, Committer } from './committer.js';
import { DecisionLoop } from './decision-loop.js';
import { DependencyTracker } from './dependency-tracker.js';
import { FleetRecordWriter } from './fleet-record-writer.js';
import { HeartbeatHandler } from './heartbeat-handler.js';
import { JobCanceller } from './job-canceller.js';
import { JobIntake } from './job-intake.js';
import { JobOutcomes } from './job-outcomes.js';
import { JobWatcher } from './job-watcher.js';
import { LostTaskReleaser } from './lost-tasks.js';
import { StateRestorer } from './state-restorer.js';
import type { TermLifetime } from './term-lifetime.js';
import { maxRenewalWithoutQuorum, WorkerLeasePolicy } from './worker-lease-policy.js';
import { WorkerDrainer } from './worker-drainer.js';
import { WriteCounts } from './write-counts.js';

/** The share of the store's write rate that a leader uses at most: the others draw on it, too. */
const STORE_WRITE_SHARE = 0.7;
/** The share of the cloud's request rate that a leader uses at most. */
const CLOUD_REQUEST_SHARE = 0.8;

/** What one term begins with. */
export interface TermSetup {
  readonly controller: ControllerContext;
  readonly term: LeadershipTerm;
  readonly lease: LeaseValidity;
  readonly lifetime: TermLifetime;
}

/** The models that several parts learn into and decide by. */
interface Models {
  readonly lifetimes: Lifetimes;
  readonly slackFactors: SlackFactors;
  readonly sloTargets: SloTargets;
}

/** The parts of one leader. `lock` serializes decisions, heartbeats, and events of the job watch. */
export interface LeaderParts {
  readonly ctx: LeaderContext;
  readonly lock: Mutex;
  readonly writeCounts: WriteCounts;
  readonly workerLeasePolicy: WorkerLeasePolicy;
  readonly fleet: FleetManager;
  readonly fleetRecordWriter: FleetRecordWriter;
  readonly committer: Committer;
  readonly decisionLog: DecisionLog;
  readonly issuer: CommandIssuer;
  readonly dispatcher: CommandDispatcher;
  readonly failureDetector: WorkerFailureDetector;
  readonly decisions: DecisionLoop;
  readonly canceller: JobCanceller;
  readonly dependencies: DependencyTracker;
  readonly drainer: WorkerDrainer;
  readonly heartbeats: HeartbeatHandler;
  readonly intake: JobIntake;
  readonly watcher: JobWatcher;
  readonly restorer: StateRestorer;
  readonly outcomes: JobOutcomes;
  readonly lostTasks: LostTaskReleaser;
  readonly chunkResizer: ChunkResizer;
}

/**
 * Some parts call each other both ways: placement commits starts, and a commit that is durable sends them. The earlier
 * one of a pair reaches the later one through this. No constructor may call it: the parts exist when all are built.
 */
type LaterParts = () => LeaderParts;

/** Builds all parts of a leader. Nothing runs yet: no timer is started and no request sent. */
export function createLeaderParts(setup: TermSetup): LeaderParts {
  const later: LaterParts = () => parts;
  const ctx = createContext(setup, later);
  const lock = new Mutex();
  const workerLeasePolicy = createWorkerLeasePolicy(setup);
  const models = createModels(ctx);
  const { lifetimes, sloTargets } = models;
  const graph = new DependencyGraph(ctx.jobs, (job) =>
    sloTargets.estimatedDurationMs(lifetimes.expectedRunMs(job.spec)),
  );
  const storage = createStorage(setup, ctx, models, later);
  const { fleet, committer } = storage;
  const workerLinks = createWorkerLinks(setup, ctx, fleet, later);
  const { dispatcher } = workerLinks;
  const decisions = new DecisionLoop(ctx, { fleet, committer, dispatcher, ...models, lock });
  const canceller = new JobCanceller(ctx, { graph, lifetimes, dispatcher, committer, fleet });
  const dependencies = new DependencyTracker(ctx, { graph, canceller, demand: fleet, lock });
  const intake = new JobIntake(ctx, { committer, canceller, dependencies, demand: fleet });
  const heartbeats = new HeartbeatHandler(ctx, {
    ...workerLinks,
    fleet,
    committer,
    lifetimes,
    workerLeasePolicy,
    lock,
  });
  const parts: LeaderParts = {
    ctx,
    lock,
    workerLeasePolicy,
    ...storage,
    ...workerLinks,
    decisions,
    canceller,
    dependencies,
    intake,
    heartbeats,
    drainer: new WorkerDrainer(ctx, dispatcher),
    watcher: new JobWatcher(ctx, { intake, workerLeasePolicy, lock }),
    restorer: new StateRestorer(ctx, {
      fleet,
      fleetRecordWriter: storage.fleetRecordWriter,
      intake,
      workerLeasePolicy,
    }),
    outcomes: new JobOutcomes(ctx, { fleet, ...models }),
    lostTasks: new LostTaskReleaser(ctx, committer),
    chunkResizer: new ChunkResizer(ctx, committer),
  };
  return parts;
}

function createContext({ controller, term, lease, lifetime }: TermSetup, later: LaterParts): LeaderContext {
  const workers = new WorkerRegistry();
  return {
    ...controller,
    epoch: term.epoch,
    epochRevision: term.epochRevision,
    startedAt: controller.clock.now(),
    jobs: new JobStore((task) => later().restorer.holdOnMachine(task)),
    workers,
    isLeaseValid: () => lease.isLeaseValid(),
    stepDown: (reason) => lifetime.end(reason),
    isEnded: () => lifetime.isEnded,
    requestDecision: () => later().decisions.request(),
    cancelJob: (id) => later().canceller.cancel(id),
    drainWorker: (id) => later().drainer.drain(id),
    dispatchCommands: (id) => {
      const worker = workers.get(id);
      if (worker) later().dispatcher.dispatch(worker);
    },
  };
}

function createWorkerLeasePolicy({ controller, term, lease, lifetime }: TermSetup): WorkerLeasePolicy {
  return new WorkerLeasePolicy(controller, lease, (peerEpoch) => {
    if (peerEpoch > term.epoch) lifetime.end('a peer leads a newer epoch');
  });
}

function createModels({ settings }: LeaderContext): Models {
  return {
    lifetimes: new Lifetimes(),
    slackFactors: new SlackFactors(),
    sloTargets: new SloTargets(settings.objectives),
  };
}

type Storage = Pick<LeaderParts, 'fleet' | 'fleetRecordWriter' | 'committer' | 'writeCounts'>;

/** Builds the fleet, and what writes to the store. */
function createStorage(
  { lifetime }: TermSetup,
  ctx: LeaderContext,
  models: Models,
  later: LaterParts,
): Storage {
  const writeCounts = new WriteCounts();
  const writeBudget = createWriteBudget(ctx, lifetime);
  const fleetListener: FleetListener = {
    machineGone: (worker) => later().lostTasks.onMachineGone(worker),
    fleetChanged: () => later().fleetRecordWriter.markChanged(),
  };
  const fleet = new FleetManager(ctx, createCloudBudget(ctx), models, fleetListener);
  const fleetRecordWriter = new FleetRecordWriter(ctx, { fleet, writeBudget, writeCounts });
  const listener: CommitListener = {
    tasksPlaced: (tasks) => later().decisions.onPlaced(tasks),
    jobClosed: (job) => {
      const { outcomes, dependencies } = later();
      outcomes.recordClosed(job);
      if (!job.isCancelled) dependencies.markDone(job.spec.id);
    },
  };
  const committer = new Committer(ctx, { writeBudget, writeCounts, listener });
  return { fleet, fleetRecordWriter, committer, writeCounts };
}

/** The writes per second that this leader may make; follows the store's announced rate until the term ends. */
function createWriteBudget({ clock, storeLimits }: LeaderContext, lifetime: TermLifetime): TokenBucket {
  const budget = new TokenBucket(clock, 1, 1);
  const stopFollowing = storeLimits.onRateChange(() => {
    const rate = storeLimits.writeRps * STORE_WRITE_SHARE;
    budget.setRate(rate, rate);
  });
  lifetime.addCleanup(stopFollowing);
  return budget;
}

function createCloudBudget({ clock, settings }: LeaderContext): TokenBucket {
  const { cloudRequestsPerSecond } = settings;
  return new TokenBucket(clock, cloudRequestsPerSecond * CLOUD_REQUEST_SHARE, cloudRequestsPerSecond);
}

type WorkerLinks = Pick<LeaderParts, 'decisionLog' | 'issuer' | 'dispatcher' | 'failureDetector'>;

/** Builds what sends commands to workers and watches whether they are alive. */
function createWorkerLinks(
  { controller, term }: TermSetup,
  ctx: LeaderContext,
  fleet: FleetManager,
  later: LaterParts,
): WorkerLinks {
  const onHeartbeat = (worker: Worker, heartbeat: Heartbeat): void =>
    void later().heartbeats.handleReply(worker, heartbeat);
  const decisionLog = new DecisionLog(ctx.log, ctx.clock);
  const issuer = new CommandIssuer(ctx, decisionLog);
  const dispatcher = new CommandDispatcher(ctx, {
    issuer,
    onHeartbeat,
    maxConcurrentCalls: controller.maxConcurrentWorkerCalls,
  });
  const failureDetector = new WorkerFailureDetector(ctx, {
    predecessorRenewalMs: term.previousLeaseRemaining + maxRenewalWithoutQuorum(controller),
    onHeartbeat,
    fence: (worker, reason) => fleet.remove(worker, reason),
    onLeaseExpired: (worker) => later().lostTasks.onLeaseExpired(worker),
  });
  return { decisionLog, issuer, dispatcher, failureDetector };
}
