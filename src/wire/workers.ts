import * as z from 'zod/mini';
import type {
  Counter,
  HostId,
  MemberId,
  TaskId,
  SessionNumber,
  Token,
  TryNo,
  TypeId,
  ZoneId,
} from '../model/ids.js';
import type { Attempt, AttemptState, Order, Report } from '../model/heartbeat.js';
import { seconds } from '../model/time.js';
import { amount, count, firstIssue, word } from './common.js';
import type { Parsed } from './users.js';

const STATES: Record<string, AttemptState> = {
  pulling: 'fetching',
  running: 'running',
  flushing: 'saving',
  ended: 'exited',
};

/** What a report has to look like. */
export const reportSchema = z.object({
  host: word,
  address: word,
  flavour: word,
  hall: word,
  reclaimable: z.boolean(),
  tenure: count,
  counter: count,
  epoch: count,
  warningS: z.nullish(amount),
  shards: z.nullish(
    z.array(z.object({ shard: word, try: count, status: word, cause: z.nullish(z.string()) })),
  ),
});

type WireReport = z.infer<typeof reportSchema>;
type WireAttempt = NonNullable<WireReport['shards']>[number];
/** A field whose type is still to be checked. */
type Unchecked<T> = { readonly [Field in keyof T]?: unknown };

const MOST_LETTERS = 200;
const isWord = (value: unknown): boolean =>
  typeof value === 'string' && value.length > 0 && value.length <= MOST_LETTERS;
const isCount = (value: unknown): boolean => Number.isSafeInteger(value) && (value as number) >= 0;
const isObject = (value: unknown): value is object => typeof value === 'object' && value !== null;

function isAttempt(value: unknown): value is WireAttempt {
  if (!isObject(value)) return false;
  const { shard, try: tryNo, status, cause } = value as Unchecked<WireAttempt>;
  return isWord(shard) && isCount(tryNo) && isWord(status) && (cause == null || typeof cause === 'string');
}

/**
 * The same as `reportSchema` checks, in less time: reports come by the hundred a second, and next to all of them
 * are well-formed. the schema says what is wrong with the others; a test compares the two.
 */
function isReport(body: unknown): body is WireReport {
  if (!isObject(body)) return false;
  const w = body as Unchecked<WireReport>;
  const words = isWord(w.host) && isWord(w.address) && isWord(w.flavour) && isWord(w.hall);
  const counts = isCount(w.tenure) && isCount(w.counter) && isCount(w.epoch);
  const notice = w.warningS == null || (typeof w.warningS === 'number' && w.warningS >= 0);
  if (!words || !counts || !notice || typeof w.reclaimable !== 'boolean') return false;
  return w.shards == null || (Array.isArray(w.shards) && w.shards.every(isAttempt));
}

/** Checks every field of a report. */
export function parseReport(body: unknown): Parsed<Report> {
  if (!isReport(body)) {
    const { error } = reportSchema.safeParse(body);
    return { ok: false, error: error ? firstIssue(error) : 'not a report' };
  }
  const w = body;
  const attempts: Attempt[] = [];
  for (const s of w.shards ?? []) {
    attempts.push({
      task: s.shard as TaskId,
      tryNo: s.try as TryNo,
      // A state that we do not know still holds the machine: the task counts as being there.
      state: STATES[s.status] ?? 'running',
      cause: s.cause ?? null,
    });
  }
  return {
    ok: true,
    value: {
      host: w.host as HostId,
      address: w.address,
      type: w.flavour as TypeId,
      zone: w.hall as ZoneId,
      spot: w.reclaimable,
      session: w.tenure as SessionNumber,
      counter: w.counter as Counter,
      token: w.epoch as Token,
      notice: w.warningS == null ? null : seconds(w.warningS),
      attempts,
    },
  };
}

function order(o: Order): object {
  const base = { verb: o.verb, shard: o.task, try: o.tryNo };
  return o.verb === 'kill' ? { ...base, drainS: o.graceS } : base;
}

/** The body of an answer that sends a worker to another controller. */
export function encodeRedirect(member: MemberId): Buffer {
  return Buffer.from(JSON.stringify({ foreman: member }));
}

/** The body of an answer to a report. */
export function encodeOrders(token: Token, orders: readonly Order[]): Buffer {
  return Buffer.from(JSON.stringify({ epoch: token, orders: orders.map(order) }));
}

/** The body of a direct call with orders. */
export function commandBody(token: Token, session: SessionNumber, orders: readonly Order[]): object {
  return { epoch: token, tenure: session, orders: orders.map(order) };
}

/** A worker's answer to a direct call. */
export interface CommandReply {
  readonly executed: boolean;
  readonly report: Report | null;
}

/** Reads such an answer; a body that is no report gives none. */
export function readCommandReply(status: number, body: unknown): CommandReply {
  const parsed = parseReport(body);
  return { executed: status === 200, report: parsed.ok ? parsed.value : null };
}
