/** What workers (the agents on the machines) say in their heartbeats, and what they are told to do. */
import type {
  AgentIncarnation,
  AttemptNumber,
  FencingToken,
  HeartbeatSequence,
  MachineId,
  MachineTypeId,
  TaskId,
  ZoneId,
} from './ids.js';
import type { Millis } from './time.js';

/** The state of an attempt on its machine; `saving`: it writes a checkpoint before it exits. */
export type AttemptState = 'fetching' | 'running' | 'saving' | 'exited';

/** An attempt at a task, as its worker shows it. */
export interface Attempt {
  readonly task: TaskId;
  readonly attemptNumber: AttemptNumber;
  readonly state: AttemptState;
  /** Why it exited: `done`, `stopped`, `error`, `no_room`, `busy`, `no_such`, or one that this version does not know. */
  readonly cause: string | null;
}

/** A worker's heartbeat, with its status and all attempts that it holds. */
export interface Heartbeat {
  readonly machine: MachineId;
  /** Where the worker takes direct commands. */
  readonly address: string;
  readonly type: MachineTypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
  readonly incarnation: AgentIncarnation;
  readonly sequence: HeartbeatSequence;
  /** The highest fencing token that the worker has seen. */
  readonly token: FencingToken;
  /** Time until the cloud reclaims the spot machine; null: no interruption notice. */
  readonly interruptionNotice: Millis | null;
  readonly attempts: readonly Attempt[];
}

interface CommandTarget {
  readonly task: TaskId;
  readonly attemptNumber: AttemptNumber;
}

/** Start the attempt. A worker that has held the attempt before does nothing. */
interface StartCommand extends CommandTarget {
  readonly kind: 'start';
}

/** Stop the attempt; it gets `graceS` seconds to write a checkpoint. */
interface StopCommand extends CommandTarget {
  readonly kind: 'stop';
  readonly graceS: number;
}

/** Forget an attempt that has ended, whose outcome is durable. */
interface ForgetCommand extends CommandTarget {
  readonly kind: 'forget';
}

/** A command to a worker. */
export type WorkerCommand = StartCommand | StopCommand | ForgetCommand;
