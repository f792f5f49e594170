import * as z from 'zod/mini';
import type { Counter, HostId, TaskId, SessionNumber, Token, TryNo, TypeId, ZoneId } from '../model/ids.js';
import type { Attempt, AttemptState, Order, Report } from '../model/report.js';
import { seconds } from '../model/time.js';
import { amount, count, firstIssue, word } from './common.js';
import type { Parsed } from './users.js';

const STATES: Record<string, AttemptState> = {
  pulling: 'fetching',
  running: 'running',
  flushing: 'saving',
  ended: 'exited',
};

const report = z.object({
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

/** Checks every field of a report. */
export function parseReport(body: unknown): Parsed<Report> {
  const read = report.safeParse(body);
  if (!read.success) return { ok: false, error: firstIssue(read.error) };
  const w = read.data;
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
