import type { Cancellations } from './confirmed-cancellations.js';
import type { Cloud } from '../cloud/client.js';
import type { Operators } from '../config/operators.js';
import type { Log } from '../log/logger.js';
import type { Epoch, HostId, JobId, MemberId, Revision, SessionNumber, Token, TypeId } from '../model/ids.js';
import type { MachineType } from '../model/machine.js';
import type { Order, Report } from '../model/heartbeat.js';
import type { Clock, Steady } from '../model/time.js';
import type { JobStore } from '../scheduler/job-store.js';
import type { CancellationsWord } from '../peer/frames.js';
import type { Records } from '../store/records.js';
import type { StateLimits } from '../store/store-limits.js';
import type { StateStore } from '../store/client.js';
import type { Settings } from '../wire/settings.js';
import type { CommandReply } from '../wire/workers.js';
import type { HostRegistry } from '../workers/state/worker-registry.js';

/** Direct calls to a worker's own address. */
export interface WorkerCaller {
  command(
    address: string,
    token: Token,
    session: SessionNumber,
    orders: readonly Order[],
    deadlineMs: number,
  ): Promise<CommandReply>;
  /** `everyWay`: through the other controllers as well. */
  show(address: string, deadlineMs: number, everyWay: boolean): Promise<Report | null>;
}

/** What the other controllers say of confirmed cancellations. */
export interface Siblings {
  /**
   * Asks each of them. Null for one that doesn't answer or can't say: each sibling of the settings has
   * its place in the list, whether or not it was ever heard.
   */
  cancellations(deadlineMs: number): Promise<(CancellationsWord | null)[]>;
}

/** What a node has at hand, leader or not. */
export interface NodeContext {
  readonly member: MemberId;
  readonly clock: Clock;
  readonly log: Log;
  readonly settings: Settings;
  readonly ops: Operators;
  readonly store: StateStore;
  readonly cloud: Cloud;
  readonly workers: WorkerCaller;
  /** Between 0 and 1. */
  readonly random: () => number;
  readonly types: Map<TypeId, MachineType>;
  /** Direct calls to workers that may be under way at once. */
  readonly workerCalls: number;
  /** The share of its processor time that this process uses, between 0 and 1. */
  readonly load: () => number;
  readonly limits: StateLimits;
  readonly cancellations: Cancellations;
  readonly siblings: Siblings;
  /** Whether the leader and every controller that could take over, as far as known, have this protocol version. */
  readonly allSpeak: (version: number) => boolean;
  /** Records under a prefix that were read ahead of a takeover, brought up to date; null: they have to be read. */
  readonly readAhead: (prefix: string) => Promise<Records | null>;
}

/** What the parts of one leadership share. */
export interface LeaderContext extends NodeContext {
  readonly epoch: Epoch;
  readonly epochRevision: Revision;
  /** When the takeover's transaction had been answered. */
  readonly startedAt: Steady;
  readonly jobs: JobStore;
  readonly hosts: HostRegistry;
  /**
   * Whether our grant surely lives. Without it no machine is rented or deleted: behind a cut the
   * network may hold such calls and deliver them long after another leader has put work there.
   */
  sure(): boolean;
  /** Another leadership exists: ours ends at once. */
  deposed(why: string): void;
  ended(): boolean;
  /** Something changed that decisions depend on. */
  requestDecision(): void;
  cancelled(job: JobId): void;
  /** The host is emptied: its work starts again elsewhere. */
  empty(host: HostId): void;
  /** Orders wait for this host. */
  dispatch(host: HostId): void;
}
