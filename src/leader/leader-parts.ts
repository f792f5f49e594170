/** Constructs the components of a leader in dependency order. */
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
import { LostTaskReleaser } from './lost-task-releaser.js';
import { StateRestorer } from './state-restorer.js';
import type { TermLifetime } from './term-lifetime.js';
import { maxRenewalWithoutQuorum, WorkerLeasePolicy } from './worker-lease-policy.js';
import { WorkerDrainer } from './worker-drainer.js';
import { WriteCounts } from './write-counts.js';

/** Maximum share of the store's write rate that a leader uses; other controllers write to the same store. */
const MAX_STORE_WRITE_RATIO = 0.7;
/** Maximum share of the cloud API's request rate that a leader uses. */
const MAX_CLOUD_REQUEST_RATIO = 0.8;

/** The inputs from which the components of one leadership term are built. */
export interface TermSetup {
  readonly controller: ControllerContext;
  readonly term: LeadershipTerm;
  readonly lease: LeaseValidity;
  readonly lifetime: TermLifetime;
}

/** The models that several leader components train and base their decisions on. */
interface Models {
  readonly lifetimes: Lifetimes;
  readonly slackFactors: SlackFactors;
  readonly sloTargets: SloTargets;
}

/**
 * The components of one leader. `lock` serializes decisions, heartbeats, watched job changes, confirmed cancellations,
 * and read dependencies.
 */
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
 * Returns all leader components. Breaks cycles between components that call each other: placement commits task starts,
 * and a durable commit dispatches them. The component that is built first reaches the other one through this getter. A
 * constructor must not call the getter, because the components exist only after all of them are built.
 */
type LeaderPartsGetter = () => LeaderParts;

/** Builds all components of a leader without starting a timer or sending a request. */
export function createLeaderParts(setup: TermSetup): LeaderParts {
  const getParts: LeaderPartsGetter = () => parts;
  const ctx = createContext(setup, getParts);
  const lock = new Mutex();
  const workerLeasePolicy = createWorkerLeasePolicy(setup);
  const models = createModels(ctx);
  const { lifetimes, sloTargets } = models;
  const graph = new DependencyGraph(ctx.jobs, (job) =>
    sloTargets.estimatedDurationMs(lifetimes.expectedRunMs(job.spec)),
  );
  const storageParts = createStorageParts(setup, ctx, models, getParts);
  const { fleet, committer } = storageParts;
  const workerCommunicationParts = createWorkerCommunicationParts(setup, ctx, fleet, getParts);
  const { dispatcher } = workerCommunicationParts;
  const decisions = new DecisionLoop(ctx, { fleet, committer, dispatcher, ...models, lock });
  const canceller = new JobCanceller(ctx, { graph, lifetimes, dispatcher, committer, fleet });
  const dependencies = new DependencyTracker(ctx, { graph, canceller, demand: fleet, lock });
  const intake = new JobIntake(ctx, { committer, canceller, dependencies, demand: fleet });
  const heartbeats = new HeartbeatHandler(ctx, {
    ...workerCommunicationParts,
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
    ...storageParts,
    ...workerCommunicationParts,
    decisions,
    canceller,
    dependencies,
    intake,
    heartbeats,
    drainer: new WorkerDrainer(ctx, dispatcher),
    watcher: new JobWatcher(ctx, { intake, workerLeasePolicy, lock }),
    restorer: new StateRestorer(ctx, {
      fleet,
      fleetRecordWriter: storageParts.fleetRecordWriter,
      intake,
      workerLeasePolicy,
    }),
    outcomes: new JobOutcomes(ctx, { fleet, ...models }),
    lostTasks: new LostTaskReleaser(ctx, committer),
    chunkResizer: new ChunkResizer(ctx, committer),
  };
  return parts;
}

function createContext(
  { controller, term, lease, lifetime }: TermSetup,
  getParts: LeaderPartsGetter,
): LeaderContext {
  const workers = new WorkerRegistry();
  return {
    ...controller,
    epoch: term.epoch,
    epochRevision: term.epochRevision,
    startedAt: controller.clock.now(),
    jobs: new JobStore((task) => getParts().restorer.restoreAssignment(task)),
    workers,
    isLeaseValid: () => lease.isLeaseValid(),
    stepDown: (reason) => lifetime.end(reason),
    isEnded: () => lifetime.isEnded,
    requestDecision: () => getParts().decisions.request(),
    cancelJob: (id) => getParts().canceller.cancel([id]),
    drainWorker: (id) => getParts().drainer.drain(id),
    dispatchCommands: (id) => {
      const worker = workers.get(id);
      if (worker) getParts().dispatcher.dispatch(worker);
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

type StorageParts = Pick<LeaderParts, 'fleet' | 'fleetRecordWriter' | 'committer' | 'writeCounts'>;

/** Builds the fleet manager and the components that write to the store. */
function createStorageParts(
  { lifetime }: TermSetup,
  ctx: LeaderContext,
  models: Models,
  getParts: LeaderPartsGetter,
): StorageParts {
  const writeCounts = new WriteCounts();
  const writeBudget = createWriteBudget(ctx, lifetime);
  const fleetListener: FleetListener = {
    machineDeleted: (worker) => getParts().lostTasks.onMachineGone(worker),
    fleetChanged: () => getParts().fleetRecordWriter.markChanged(),
  };
  const fleet = new FleetManager(ctx, createCloudBudget(ctx), models, fleetListener);
  const fleetRecordWriter = new FleetRecordWriter(ctx, { fleet, writeBudget, writeCounts });
  const commitListener: CommitListener = {
    onTasksPlaced: (tasks) => getParts().decisions.onTasksPlaced(tasks),
    onJobClosed: (job) => {
      const { outcomes, dependencies } = getParts();
      outcomes.recordClosed(job);
      if (!job.isCancelled) dependencies.markDone(job.spec.id);
    },
  };
  const committer = new Committer(ctx, { writeBudget, writeCounts, listener: commitListener });
  return { fleet, fleetRecordWriter, committer, writeCounts };
}

/**
 * Creates this leader's store write budget, which follows the write rate limit of `StoreLimits` until the term ends.
 */
function createWriteBudget({ clock, storeLimits }: LeaderContext, lifetime: TermLifetime): TokenBucket {
  const budget = new TokenBucket(clock, 1, 1);
  const unsubscribe = storeLimits.onRateChange(() => {
    const rate = storeLimits.writeRps * MAX_STORE_WRITE_RATIO;
    budget.setRate(rate, rate);
  });
  lifetime.addCleanup(unsubscribe);
  return budget;
}

function createCloudBudget({ clock, settings }: LeaderContext): TokenBucket {
  const { cloudRequestsPerSecond } = settings;
  return new TokenBucket(clock, cloudRequestsPerSecond * MAX_CLOUD_REQUEST_RATIO, cloudRequestsPerSecond);
}

type WorkerCommunicationParts = Pick<
  LeaderParts,
  'decisionLog' | 'issuer' | 'dispatcher' | 'failureDetector'
>;

/** Builds the components that send commands to workers and detect worker failures. */
function createWorkerCommunicationParts(
  { controller, term }: TermSetup,
  ctx: LeaderContext,
  fleet: FleetManager,
  getParts: LeaderPartsGetter,
): WorkerCommunicationParts {
  const onHeartbeat = (worker: Worker, heartbeat: Heartbeat): void =>
    void getParts().heartbeats.handleReply(worker, heartbeat);
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
    fence: (worker, reason) => fleet.deleteMachine(worker, reason),
    onLeaseExpired: (worker) => getParts().lostTasks.onLeaseExpired(worker),
  });
  return { decisionLog, issuer, dispatcher, failureDetector };
}
