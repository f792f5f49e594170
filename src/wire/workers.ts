/** Codecs of workers' heartbeats and of commands to workers. */
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
import { nonNegativeNumber, nonNegativeInteger, formatFirstIssue, shortName } from './common.js';
import type { ParseResult } from './users.js';

/** Attempt states by their names on the wire. */
const ATTEMPT_STATES_BY_STATUS: Record<string, AttemptState> = {
  pulling: 'fetching',
  running: 'running',
  flushing: 'saving',
  ended: 'exited',
};

/** Schema of a heartbeat on the wire. */
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
/** The fields of `T` before validation, each of unknown type and possibly missing. */
type Unchecked<T> = { readonly [Field in keyof T]?: unknown };

const MAX_NAME_LENGTH_CHARS = 200;
const isShortName = (value: unknown): boolean =>
  typeof value === 'string' && value.length > 0 && value.length <= MAX_NAME_LENGTH_CHARS;
const isNonNegativeInteger = (value: unknown): boolean =>
  Number.isSafeInteger(value) && (value as number) >= 0;
const isObject = (value: unknown): value is object => typeof value === 'object' && value !== null;

function isWireAttempt(value: unknown): value is WireAttempt {
  if (!isObject(value)) return false;
  const { shard, try: attemptNumber, status, cause } = value as Unchecked<WireAttempt>;
  return (
    isShortName(shard) &&
    isNonNegativeInteger(attemptNumber) &&
    isShortName(status) &&
    (cause == null || typeof cause === 'string')
  );
}

/**
 * Accepts the same values as `heartbeatSchema`, in less time: controllers receive hundreds of heartbeats per second,
 * and nearly all are well-formed (docs/results.md). For a malformed heartbeat, the schema then finds the invalid field.
 * A unit test compares the two checks.
 */
function isWireHeartbeat(body: unknown): body is WireHeartbeat {
  if (!isObject(body)) return false;
  const wire = body as Unchecked<WireHeartbeat>;
  const hasNames =
    isShortName(wire.host) &&
    isShortName(wire.address) &&
    isShortName(wire.flavour) &&
    isShortName(wire.hall);
  const hasCounts =
    isNonNegativeInteger(wire.tenure) &&
    isNonNegativeInteger(wire.counter) &&
    isNonNegativeInteger(wire.epoch);
  const hasNotice = wire.warningS == null || (typeof wire.warningS === 'number' && wire.warningS >= 0);
  if (!hasNames || !hasCounts || !hasNotice || typeof wire.reclaimable !== 'boolean') return false;
  return wire.shards == null || (Array.isArray(wire.shards) && wire.shards.every(isWireAttempt));
}

/** Decodes a heartbeat and validates all its fields. */
export function parseHeartbeat(body: unknown): ParseResult<Heartbeat> {
  if (!isWireHeartbeat(body)) {
    const { error } = heartbeatSchema.safeParse(body);
    return { ok: false, error: error ? formatFirstIssue(error) : 'heartbeat is malformed' };
  }
  const attempts: Attempt[] = [];
  for (const shard of body.shards ?? []) {
    attempts.push({
      task: shard.shard as TaskId,
      attemptNumber: shard.try as AttemptNumber,
      // An attempt in a state that this version does not know still occupies the machine, so it counts as running.
      state: ATTEMPT_STATES_BY_STATUS[shard.status] ?? 'running',
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

/** Names of the command kinds on the wire. */
const VERBS_BY_COMMAND = { start: 'run', stop: 'kill', forget: 'clear' } as const satisfies Record<
  WorkerCommand['kind'],
  string
>;

function encodeCommand(command: WorkerCommand): object {
  const encoded = { verb: VERBS_BY_COMMAND[command.kind], shard: command.task, try: command.attemptNumber };
  return command.kind === 'stop' ? { ...encoded, drainS: command.graceS } : encoded;
}

/** Encodes the body of an answer that redirects a worker to another controller. */
export function encodeRedirect(member: MemberId): Buffer {
  return Buffer.from(JSON.stringify({ foreman: member }));
}

/** Encodes the body of an answer to a heartbeat. */
export function encodeCommands(token: FencingToken, commands: readonly WorkerCommand[]): Buffer {
  return Buffer.from(JSON.stringify({ epoch: token, orders: commands.map(encodeCommand) }));
}

/** Encodes the body of a direct call with commands to a worker. */
export function directCommandBody(
  token: FencingToken,
  incarnation: AgentIncarnation,
  commands: readonly WorkerCommand[],
): object {
  return { epoch: token, tenure: incarnation, orders: commands.map(encodeCommand) };
}

/** A worker's answer to a direct call with commands. */
export interface CommandReply {
  /** Whether the worker answered 200; it answers otherwise to a refused fencing token or incarnation. */
  readonly executed: boolean;
  readonly heartbeat: Heartbeat | null;
}

/** Decodes a worker's answer to a direct call. `heartbeat` is null if the body is not a valid heartbeat. */
export function readCommandReply(status: number, body: unknown): CommandReply {
  const parsed = parseHeartbeat(body);
  return { executed: status === 200, heartbeat: parsed.ok ? parsed.value : null };
}
