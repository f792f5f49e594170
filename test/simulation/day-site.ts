/** What a day of users and troubles needs of a site, on the virtual clock or on real processes. */
import type { MachineId } from '../../src/model/ids.js';
import type { Clock } from '../../src/model/time.js';
import type { JobWish } from './site-setup.js';

/** The machines' side that troubles act on. */
interface TroubledWorker {
  hang(): void;
  goOn(): void;
}

/** The state service's side that troubles act on. */
interface TroubledState {
  outage: boolean;
  lateShare: number;
  readonly refused: Set<string>;
}

/** The rules that a day itself finds broken. */
interface DayRules {
  readonly broken: readonly string[];
  breach(text: string): void;
}

/** Controllers, machines and users; see `Site`. */
export interface DaySite {
  readonly clock: Pick<Clock, 'now' | 'after'>;
  readonly nodes: readonly string[];
  readonly rules: DayRules;
  readonly state: TroubledState;
  readonly workers: ReadonlyMap<MachineId, TroubledWorker>;
  readonly leader: string | undefined;
  readonly cuts: Set<string>;
  readonly alone: Set<string>;
  readonly oneWay: Set<MachineId>;
  readonly mute: Set<MachineId>;
  copyShare: number;
  trace(text: string): void;
  run(s: number): Promise<void>;
  finish(): Promise<void>;
  startAll(): void;
  start(node: string): void;
  crash(node: string): void;
  standStill(node: string, s: number): void;
  isRunning(node: string): boolean;
  worker(id: MachineId): TroubledWorker;
  hold(node: string, host: MachineId): void;
  release(): void;
  takeAway(id: MachineId): void;
  post(wish: JobWish, node: string): Promise<number>;
  poll(ref: string, node: string): Promise<string | null>;
  postCancel(ref: string, node: string): Promise<string | null>;
  refused(wish: JobWish, node: string, lacks?: string): Promise<void>;
  tasksOn(ref: string): number;
}
