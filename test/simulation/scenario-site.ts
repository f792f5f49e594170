/** The interface of a site on which scenarios run: simulated on a virtual clock, or real processes on loopback. */
import type { MachineId } from '../../src/model/ids.js';
import type { Clock } from '../../src/model/time.js';
import type { JobRequest } from './site-setup.js';

/** The operations of a worker that faults use. */
interface FaultInjectableWorker {
  failsTasks: boolean;
  hang(): void;
  resume(): void;
}

/** The switches of the fake key-value store that faults use. */
interface FaultInjectableStore {
  isUnavailable: boolean;
  lateCommitRate: number;
  readonly refusedClients: Set<string>;
}

/** The part of `RuleChecker` that scenarios use to report the violations that they detect themselves. */
interface ScenarioRules {
  readonly violations: readonly string[];
  recordViolation(text: string): void;
}

/**
 * The controllers, machines and users of a site; `SimulatedSite` documents the members. Durations named `s` are in
 * seconds of the scenario's clock.
 */
export interface ScenarioSite {
  readonly clock: Pick<Clock, 'now' | 'after'>;
  readonly nodes: readonly string[];
  readonly rules: ScenarioRules;
  readonly store: FaultInjectableStore;
  readonly workers: ReadonlyMap<MachineId, FaultInjectableWorker>;
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
  worker(id: MachineId): FaultInjectableWorker;
  holdCommands(node: string, machine: MachineId): void;
  releaseCommands(): void;
  killMachine(id: MachineId): void;
  submitConcurrently(request: JobRequest, node: string): Promise<number>;
  queryConcurrently(ref: string, node: string): Promise<string | null>;
  cancelConcurrently(ref: string, node: string): Promise<string | null>;
  expectRejected(request: JobRequest, node: string, missingField?: string): Promise<void>;
  runningTaskCount(ref: string): number;
}
