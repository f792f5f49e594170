/** Heartbeats of workers, and the commands to them, in the protocol's form. */
import * as z from 'zod/mini';
import type {
  HeartbeatSequence,
  MachineId,
  MemberId,
  TaskId,
  AgentIncarnation,
  FencingToken,
  AttemptNumber,
  MachineTypeId,
  ZoneId,
} from '../model/ids.js';
import type { Attempt, AttemptState, WorkerCommand, Heartbeat } from '../model/heartbeat.js';
import { seconds } from '../model/time.js';
import { nonNegativeNumber, nonNegativeInteger, firstIssue, shortName } from './common.js';
import type { Parsed } from './users.js';

/** The wire's words for the states of an attempt. */
const ATTEMPT_STATES: Record<string, AttemptState> = {
  pulling: 'fetching',
  running: 'running',
  flushing: 'saving',
  ended: 'exited',
};

/** The form of a heartbeat on the wire. */
export const heartbeatSchema = z.object({
  host: shortName,
  address: shortName,
  flavour: shortName,
  hall: shortName,
  reclaimable: z.boolean(),
  tenure: nonNegativeInteger,
  counter: nonNegativeInteger,
  epoch: nonNegativeInteger,
  warningS: z.nullish(nonNegativeNumber),
  shards: z.nullish(
    z.array(
      z.object({
        shard: shortName,
        try: nonNegativeInteger,
        status: shortName,
        cause: z.nullish(z.string()),
      }),
    ),
  ),
});

type WireHeartbeat = z.infer<typeof heartbeatSchema>;
type WireAttempt = NonNullable<WireHeartbeat['shards']>[number];
/** A field whose type is still to be checked. */
type Unchecked<T> = { readonly [Field in keyof T]?: unknown };

const MAX_NAME_LENGTH = 200;
const isName = (value: unknown): boolean =>
  typeof value === 'string' && value.length > 0 && value.length <= MAX_NAME_LENGTH;
const isCount = (value: unknown): boolean => Number.isSafeInteger(value) && (value as number) >= 0;
const isObject = (value: unknown): value is object => typeof value === 'object' && value !== null;

function isAttempt(value: unknown): value is WireAttempt {
  if (!isObject(value)) return false;
  const { shard, try: attemptNumber, status, cause } = value as Unchecked<WireAttempt>;
  return (
    isName(shard) && isCount(attemptNumber) && isName(status) && (cause == null || typeof cause === 'string')
  );
}

/**
 * Checks the same as `heartbeatSchema`, in less time: heartbeats come by the hundred a second, and next to all of them
 * are well-formed (measured, docs/results.md). The schema names the fault of the others; a test compares the two.
 */
function isHeartbeat(body: unknown): body is WireHeartbeat {
  if (!isObject(body)) return false;
  const wire = body as Unchecked<WireHeartbeat>;
  const hasNames = isName(wire.host) && isName(wire.address) && isName(wire.flavour) && isName(wire.hall);
  const hasCounts = isCount(wire.tenure) && isCount(wire.counter) && isCount(wire.epoch);
  const hasNotice = wire.warningS == null || (typeof wire.warningS === 'number' && wire.warningS >= 0);
  if (!hasNames || !hasCounts || !hasNotice || typeof wire.reclaimable !== 'boolean') return false;
  return wire.shards == null || (Array.isArray(wire.shards) && wire.shards.every(isAttempt));
}

/** Checks every field of a heartbeat. */
export function parseHeartbeat(body: unknown): Parsed<Heartbeat> {
  if (!isHeartbeat(body)) {
    const { error } = heartbeatSchema.safeParse(body);
    return { ok: false, error: error ? firstIssue(error) : 'not a report' };
  }
  const attempts: Attempt[] = [];
  for (const shard of body.shards ?? []) {
    attempts.push({
      task: shard.shard as TaskId,
      attemptNumber: shard.try as AttemptNumber,
      // A state that this version does not know still holds the machine: the task counts as being there.
      state: ATTEMPT_STATES[shard.status] ?? 'running',
      cause: shard.cause ?? null,
    });
  }
  return {
    ok: true,
    value: {
      machine: body.host as MachineId,
      address: body.address,
      type: body.flavour as MachineTypeId,
      zone: body.hall as ZoneId,
      spot: body.reclaimable,
      incarnation: body.tenure as AgentIncarnation,
      sequence: body.counter as HeartbeatSequence,
      token: body.epoch as FencingToken,
      interruptionNotice: body.warningS == null ? null : seconds(body.warningS),
      attempts,
    },
  };
}

/** The wire's words for the kinds of commands. */
const VERBS = { start: 'run', stop: 'kill', forget: 'clear' } as const satisfies Record<
  WorkerCommand['kind'],
  string
>;

function encodeCommand(command: WorkerCommand): object {
  const encoded = { verb: VERBS[command.kind], shard: command.task, try: command.attemptNumber };
  return command.kind === 'stop' ? { ...encoded, drainS: command.graceS } : encoded;
}

/** The body of an answer that sends a worker to another controller. */
export function encodeRedirect(member: MemberId): Buffer {
  return Buffer.from(JSON.stringify({ foreman: member }));
}

/** The body of an answer to a heartbeat. */
export function encodeCommands(token: FencingToken, commands: readonly WorkerCommand[]): Buffer {
  return Buffer.from(JSON.stringify({ epoch: token, orders: commands.map(encodeCommand) }));
}

/** The body of a direct call that brings commands to a worker. */
export function directCommandBody(
  token: FencingToken,
  incarnation: AgentIncarnation,
  commands: readonly WorkerCommand[],
): object {
  return { epoch: token, tenure: incarnation, orders: commands.map(encodeCommand) };
}

/** A worker's answer to a direct call. */
export interface CommandReply {
  /** False: the worker refused, because of the fencing token or the incarnation. */
  readonly executed: boolean;
  readonly heartbeat: Heartbeat | null;
}

/** Reads a worker's answer to a direct call; a body that is no heartbeat gives none. */
export function readCommandReply(status: number, body: unknown): CommandReply {
  const parsed = parseHeartbeat(body);
  return { executed: status === 200, heartbeat: parsed.ok ? parsed.value : null };
}
