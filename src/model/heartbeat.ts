/** Heartbeats of workers (the agents on the machines), and the commands that a leader sends to workers. */
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

/** State of an attempt on its machine. In state `saving`, the attempt writes a checkpoint before it exits. */
export type AttemptState = 'fetching' | 'running' | 'saving' | 'exited';

/** An attempt at a task, as reported by its worker. */
export interface Attempt {
  readonly task: TaskId;
  readonly attemptNumber: AttemptNumber;
  readonly state: AttemptState;
  /**
   * Reason for the attempt's exit: `done`, `stopped`, `error`, `no_room`, `busy`, `no_such`, or a reason that this
   * version does not know; null if the worker reports none.
   */
  readonly cause: string | null;
}

/** A worker's heartbeat, with the worker's status and all attempts on its machine. */
export interface Heartbeat {
  readonly machine: MachineId;
  /** Address on which the worker accepts direct commands. */
  readonly address: string;
  readonly type: MachineTypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
  readonly incarnation: AgentIncarnation;
  readonly sequence: HeartbeatSequence;
  /** Highest fencing token that the worker has seen. */
  readonly token: FencingToken;
  /** Time until the cloud reclaims the spot machine; null without an interruption notice. */
  readonly interruptionNotice: Millis | null;
  readonly attempts: readonly Attempt[];
}

/** The attempt to which a command applies. */
interface CommandTarget {
  readonly task: TaskId;
  readonly attemptNumber: AttemptNumber;
}

/** Command to start an attempt. A worker that still lists the attempt in any state ignores the command. */
interface StartCommand extends CommandTarget {
  readonly kind: 'start';
}

/** Command to stop an attempt, with `graceS` seconds to write a checkpoint. */
interface StopCommand extends CommandTarget {
  readonly kind: 'stop';
  readonly graceS: number;
}

/** Command to forget an exited attempt, whose outcome is durably stored. */
interface ForgetCommand extends CommandTarget {
  readonly kind: 'forget';
}

/** A command to a worker. */
export type WorkerCommand = StartCommand | StopCommand | ForgetCommand;
