import type { Counter, HostId, TaskId, SessionNumber, Token, TryNo, TypeId, ZoneId } from './ids.js';
import type { Millis } from './time.js';

/** What an attempt does on its machine. */
export type AttemptState = 'fetching' | 'running' | 'saving' | 'exited';

/** An attempt at a task, as its machine shows it. */
export interface Attempt {
  readonly task: TaskId;
  readonly tryNo: TryNo;
  readonly state: AttemptState;
  /** Why it exited: `done`, `stopped`, `error`, `no_room`, `busy`, `no_such`, or a new word. */
  readonly cause: string | null;
}

/** A worker's report. */
export interface Report {
  readonly host: HostId;
  readonly address: string;
  readonly type: TypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
  readonly session: SessionNumber;
  readonly counter: Counter;
  /** The highest token that the worker has seen. */
  readonly token: Token;
  readonly notice: Millis | null;
  readonly attempts: readonly Attempt[];
}

/** What a worker is told to do. */
export type Order =
  | { readonly verb: 'run'; readonly task: TaskId; readonly tryNo: TryNo }
  | { readonly verb: 'kill'; readonly task: TaskId; readonly tryNo: TryNo; readonly graceS: number }
  | { readonly verb: 'clear'; readonly task: TaskId; readonly tryNo: TryNo };
