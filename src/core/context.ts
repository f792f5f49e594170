import type { ConfirmedCancellations } from './confirmed-cancellations.js';
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
import type { RecordSet } from '../store/records.js';
import type { StoreLimits } from '../store/store-limits.js';
import type { KeyValueStore } from '../store/client.js';
import type { Settings } from '../wire/settings.js';
import type { WorkerRegistry } from '../workers/state/worker-registry.js';

/** What the other controllers say of confirmed cancellations. */
export interface PeerStatusSource {
  /**
   * Asks each of them. Null for one that doesn't answer or can't say: each sibling of the settings has
   * its place in the list, whether or not it was ever heard.
   */
  collectStatus(deadlineMs: number): Promise<(PeerStatus | null)[]>;
}

/** What a node has at hand, leader or not. */
export interface ControllerContext {
  readonly member: MemberId;
  readonly clock: Clock;
  readonly log: Logger;
  readonly settings: Settings;
  readonly operators: OperatorSettings;
  readonly store: KeyValueStore;
  readonly cloud: Cloud;
  readonly workerClient: WorkerClient;
  /** Between 0 and 1. */
  readonly random: () => number;
  readonly machineTypes: Map<MachineTypeId, MachineType>;
  /** Direct calls to workers that may be under way at once. */
  readonly maxConcurrentWorkerCalls: number;
  /** The share of its processor time that this process uses, between 0 and 1. */
  readonly load: () => number;
  readonly storeLimits: StoreLimits;
  readonly cancellations: ConfirmedCancellations;
  readonly peers: PeerStatusSource;
  /** Whether the leader and every controller that could take over, as far as known, have this protocol version. */
  readonly allPeersSupport: (version: number) => boolean;
  /** Records under a prefix that were read ahead of a takeover, brought up to date; null: they have to be read. */
  readonly prefetchedRecords: (prefix: string) => Promise<RecordSet | null>;
}

/** What the parts of one leadership share. */
export interface LeaderContext extends ControllerContext {
  readonly epoch: Epoch;
  readonly epochRevision: Revision;
  /** When the takeover's transaction had been answered. */
  readonly startedAt: MonotonicTime;
  readonly jobs: JobStore;
  readonly workers: WorkerRegistry;
  /**
   * Whether our grant surely lives. Without it no machine is rented or deleted: behind a cut the
   * network may hold such calls and deliver them long after another leader has put work there.
   */
  isLeaseValid(): boolean;
  /** Another leadership exists: ours ends at once. */
  stepDown(reason: TermEndReason): void;
  isEnded(): boolean;
  /** Something changed that decisions depend on. */
  requestDecision(): void;
  cancelJob(job: JobId): void;
  /** The host is emptied: its work starts again elsewhere. */
  drainWorker(worker: MachineId): void;
  /** Orders wait for this host. */
  dispatchCommands(worker: MachineId): void;
}
