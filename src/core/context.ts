/** What the parts of a controller, and those of a leader, are handed. */
import type { Cloud } from '../cloud/client.js';
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

/** Asks the other controllers what they know of leadership and of confirmed cancellations. */
export interface PeerStatusSource {
  /**
   * Asks each of them, for at most `deadlineMs` milliseconds. The list has one entry for each peer in the settings,
   * whether or not it was ever heard; null for one that doesn't answer or has a version without this request.
   */
  collectStatus(deadlineMs: number): Promise<(PeerStatus | null)[]>;
}

/** What the parts of one controller share, leader or not. */
export interface ControllerContext {
  /** This controller. */
  readonly member: MemberId;
  readonly clock: Clock;
  readonly log: Logger;
  /** What the platform says of this site. */
  readonly settings: Settings;
  /** What the operators have configured. */
  readonly operators: OperatorSettings;
  readonly store: KeyValueStore;
  readonly cloud: Cloud;
  readonly workerClient: WorkerClient;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
  /** Filled when the catalog has been read. */
  readonly machineTypes: Map<MachineTypeId, MachineType>;
  /** The number of direct calls to workers that may be in flight at once. */
  readonly maxConcurrentWorkerCalls: number;
  /** Returns the share of its processor time that this process uses, from 0 to 1. */
  readonly load: () => number;
  readonly storeLimits: StoreLimits;
  readonly cancellations: ConfirmedCancellations;
  readonly peers: PeerStatusSource;
  /** Whether the leader and every controller that could take over have this protocol version, as far as this one knows. */
  readonly allPeersSupport: (version: number) => boolean;
  /** Records under a prefix that were read ahead of a takeover, brought up to date; null: they have to be read. */
  readonly prefetchedRecords: (prefix: string) => Promise<RecordSet | null>;
}

/** What the parts of the leader share during one term. */
export interface LeaderContext extends ControllerContext {
  readonly epoch: Epoch;
  /** The revision of the epoch's record, which every write of this term is compared with. */
  readonly epochRevision: Revision;
  /** When the answer to the takeover's transaction had arrived. */
  readonly startedAt: MonotonicTime;
  readonly jobs: JobStore;
  readonly workers: WorkerRegistry;
  /**
   * Whether the leader's lease is certain to be held at this moment. Without it no machine is rented or deleted: behind
   * a partition the network may delay such calls and deliver them long after another leader has placed work there.
   */
  isLeaseValid(): boolean;
  /** Ends this term at once: there is a newer one. */
  stepDown(reason: TermEndReason): void;
  isEnded(): boolean;
  /** Requests a decision: something has changed that decisions depend on. */
  requestDecision(): void;
  /** Carries out a confirmed cancellation. */
  cancelJob(job: JobId): void;
  /** Drains a worker: its tasks are stopped and start again elsewhere. */
  drainWorker(worker: MachineId): void;
  /** Sends the worker the commands that wait for it. */
  dispatchCommands(worker: MachineId): void;
}
