/** What a day of users and troubles needs of a site, on the virtual clock or on real processes. */
import type { MachineId } from '../../src/model/ids.js';
import type { Clock } from '../../src/model/time.js';
import type { JobRequest } from './site-setup.js';

/** The machines' side that troubles act on. */
interface FaultyWorker {
  hang(): void;
  resume(): void;
}

/** The state service's side that troubles act on. */
interface FaultyStore {
  isUnavailable: boolean;
  lateCommitRate: number;
  readonly refusedClients: Set<string>;
}

/** The rules that a day itself finds broken. */
interface ScenarioRules {
  readonly violations: readonly string[];
  recordViolation(text: string): void;
}

/** Controllers, machines and users; see `Site`. */
export interface ScenarioSite {
  readonly clock: Pick<Clock, 'now' | 'after'>;
  readonly nodes: readonly string[];
  readonly rules: ScenarioRules;
  readonly store: FaultyStore;
  readonly workers: ReadonlyMap<MachineId, FaultyWorker>;
  readonly leader: string | undefined;
  readonly cutLinks: Set<string>;
  readonly isolatedNodes: Set<string>;
  readonly inboundPartitioned: Set<MachineId>;
  readonly outboundPartitioned: Set<MachineId>;
  duplicateHeartbeatRate: number;
  trace(text: string): void;
  run(s: number): Promise<void>;
  finish(): Promise<void>;
  startAll(): void;
  start(node: string): void;
  crash(node: string): void;
  pause(node: string, s: number): void;
  isRunning(node: string): boolean;
  worker(id: MachineId): FaultyWorker;
  holdCommands(node: string, host: MachineId): void;
  releaseCommands(): void;
  killMachine(id: MachineId): void;
  submitConcurrently(wish: JobRequest, node: string): Promise<number>;
  queryConcurrently(ref: string, node: string): Promise<string | null>;
  cancelConcurrently(ref: string, node: string): Promise<string | null>;
  expectRejected(wish: JobRequest, node: string, lacks?: string): Promise<void>;
  runningTaskCount(ref: string): number;
}
