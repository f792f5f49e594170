/** The interface of a site that scenarios run on: simulated on a virtual clock, or real processes on loopback. */
import type { MachineId } from '../../src/model/ids.js';
import type { Clock } from '../../src/model/time.js';
import type { JobRequest } from './site-setup.js';

/** A worker, as far as faults act on it. */
interface FaultyWorker {
  hang(): void;
  resume(): void;
}

/** The key-value store, as far as faults act on it. */
interface FaultyStore {
  isUnavailable: boolean;
  lateCommitRate: number;
  readonly refusedClients: Set<string>;
}

/** The checker's interface for violations that the scenario itself detects. */
interface ScenarioRules {
  readonly violations: readonly string[];
  recordViolation(text: string): void;
}

/** Controllers, machines and users; see `SimulatedSite`. Durations in `s` are seconds of the scenario's clock. */
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
  holdCommands(node: string, machine: MachineId): void;
  releaseCommands(): void;
  killMachine(id: MachineId): void;
  submitConcurrently(request: JobRequest, node: string): Promise<number>;
  queryConcurrently(ref: string, node: string): Promise<string | null>;
  cancelConcurrently(ref: string, node: string): Promise<string | null>;
  expectRejected(request: JobRequest, node: string, missingField?: string): Promise<void>;
  runningTaskCount(ref: string): number;
}
