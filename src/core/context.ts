/** The dependencies that the components of a controller and of a leader share. */
import type { CloudApi } from '../cloud/client.js';
import type { OperatorSettings } from '../config/operators.js';
import type { Logger } from '../log/logger.js';
import type { Epoch, MachineId, JobId, MemberId, Revision, MachineTypeId } from '../model/ids.js';
import type { MachineType } from '../model/machine.js';
import type { TermEndReason } from '../model/term-end-reason.js';
import type { Clock, MonotonicTime } from '../model/time.js';
import type { JobStore } from '../scheduler/job-store.js';
import type { PeerStatus } from '../peer/peer-status.js';
import type { WorkerClient } from '../peer/worker-client.js';
import type { KeyValueStore } from '../store/client.js';
import type { RecordSet } from '../store/records.js';
import type { StoreLimits } from '../store/store-limits.js';
import type { Settings } from '../wire/settings.js';
import type { WorkerRegistry } from '../workers/state/worker-registry.js';
import type { ConfirmedCancellations } from './confirmed-cancellations.js';
import type { StepMonitor } from './step-monitor.js';

/** Exchanges views of leadership and confirmed cancellations with the other controllers. */
export interface PeerStatusSource {
  /**
   * Sends this controller's status to every peer and requests the peer's, with a deadline of `deadlineMs` milliseconds.
   *
   * The result has one entry for each peer in the settings, reachable or not. The entry is null for a peer that doesn't
   * answer, answers with an undecodable body, or has a version that does not support this request.
   */
  collectStatus(deadlineMs: number): Promise<(PeerStatus | null)[]>;
}

/** The dependencies shared by the components of one controller, whether or not it leads. */
export interface ControllerContext {
  /** The id of this controller. */
  readonly member: MemberId;
  readonly clock: Clock;
  readonly log: Logger;
  /** The settings of this site as provided by the platform. */
  readonly settings: Settings;
  /** The settings configured by the operators. */
  readonly operators: OperatorSettings;
  readonly store: KeyValueStore;
  readonly cloud: CloudApi;
  readonly workerClient: WorkerClient;
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  readonly random: () => number;
  /** The machine types by id; empty until the catalog has been read. */
  readonly machineTypes: Map<MachineTypeId, MachineType>;
  /** The maximum number of concurrent command calls to workers, and also of workers that are probed concurrently. */
  readonly maxConcurrentWorkerCalls: number;
  /** Returns the share of its processor time that this process uses, from 0 to 1. */
  readonly load: () => number;
  readonly storeLimits: StoreLimits;
  /** Measures the steps that hold the event loop. */
  readonly steps: StepMonitor;
  readonly cancellations: ConfirmedCancellations;
  readonly peers: PeerStatusSource;
  /** Whether the last observed leader, if any, and every connected controller support the protocol version. */
  readonly allPeersSupport: (version: number) => boolean;
  /**
   * Returns the prefetched records under a prefix, brought up to date; null if the records must be read in full, as
   * after the first call for a prefix.
   */
  readonly takePrefetchedRecords: (prefix: string) => Promise<RecordSet | null>;
}

/** The dependencies shared by the components of the leader during one term. */
export interface LeaderContext extends ControllerContext {
  readonly epoch: Epoch;
  /** The revision of the epoch's record, which every write of this term compares. */
  readonly epochRevision: Revision;
  /** The time at which the answer to the takeover's transaction arrived. */
  readonly startedAt: MonotonicTime;
  readonly jobs: JobStore;
  readonly workers: WorkerRegistry;
  /**
   * Whether the leader certainly holds its lease at this moment.
   *
   * Without a valid lease, no machine is rented, and none is deleted except one with an overdue cancelled task: during
   * a partition, the network may delay such calls and deliver them long after another leader has placed tasks on the
   * machine.
   */
  isLeaseValid(): boolean;
  /** Ends this term immediately because there is a newer one. */
  stepDown(reason: TermEndReason): void;
  isEnded(): boolean;
  /** Requests a scheduling decision after a change to any of its inputs. */
  requestDecision(): void;
  /** Carries out a confirmed cancellation. */
  cancelJob(job: JobId): void;
  /** Drains a worker, unless it is cordoned: its tasks are stopped and restarted on other workers. */
  drainWorker(worker: MachineId): void;
  /** Sends the worker its pending commands. */
  dispatchCommands(worker: MachineId): void;
}
