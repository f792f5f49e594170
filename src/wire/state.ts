import * as z from 'zod/mini';
import type { GrantId, Stamp } from '../model/ids.js';
import { count } from './common.js';

const row = z.object({ key: z.string(), data: z.unknown(), stamp: count, tether: z.nullish(count) });
const rows = z.object({ rows: z.array(row), more: z.nullish(z.boolean()), ledger: count });
const committed = z.object({ ledger: count });
const conflict = z.object({ failed: z.array(z.string()), ledger: z.nullish(count) });
const grant = z.object({ tether: count });
const changes = z.object({
  ledger: count,
  news: z.nullish(
    z.array(
      z.object({
        set: z.nullish(z.string()),
        drop: z.nullish(z.string()),
        data: z.optional(z.unknown()),
        stamp: count,
      }),
    ),
  ),
});

export interface Row {
  readonly key: string;
  readonly value: unknown;
  readonly stamp: Stamp;
}

export interface Page {
  readonly rows: Row[];
  readonly more: boolean;
  readonly ledger: Stamp;
}

/** A key that was set, or dropped when `value` is undefined. */
export interface Change {
  readonly key: string;
  readonly value: unknown;
  readonly stamp: Stamp;
}

export interface Condition {
  readonly key: string;
  readonly stamp: Stamp;
}

export type Write =
  { readonly set: string; readonly value: unknown; readonly grant?: GrantId } | { readonly drop: string };

const toRow = (r: z.infer<typeof row>): Row => ({ key: r.key, value: r.data, stamp: r.stamp as Stamp });

export const readRow = (body: unknown): Row => toRow(row.parse(body));

export function readPage(body: unknown): Page {
  const page = rows.parse(body);
  return { rows: page.rows.map(toRow), more: page.more ?? false, ledger: page.ledger as Stamp };
}

export const readLedger = (body: unknown): Stamp => committed.parse(body).ledger as Stamp;
export const readFailed = (body: unknown): string[] => conflict.parse(body).failed;
export const readGrant = (body: unknown): GrantId => grant.parse(body).tether as GrantId;

export function readChanges(body: unknown): { ledger: Stamp; changes: Change[] } {
  const read = changes.parse(body);
  const list: Change[] = [];
  for (const c of read.news ?? []) {
    const key = c.set ?? c.drop;
    if (key == null) continue;
    list.push({ key, value: c.set == null ? undefined : c.data, stamp: c.stamp as Stamp });
  }
  return { ledger: read.ledger as Stamp, changes: list };
}

export function commitBody(conditions: readonly Condition[], writes: readonly Write[]): object {
  return {
    if: conditions.map((c) => ({ key: c.key, stamp: c.stamp })),
    writes: writes.map((w) =>
      'set' in w
        ? w.grant === undefined
          ? { set: w.set, data: w.value }
          : { set: w.set, data: w.value, tether: w.grant }
        : { drop: w.drop },
    ),
  };
}
