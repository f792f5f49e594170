import * as z from 'zod/mini';
import type { GrantId, Revision } from '../model/ids.js';
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

/** A key with its value and the revision of its last change. */
export interface Row {
  readonly key: string;
  readonly value: unknown;
  readonly revision: Revision;
  /** The grant that the key is bound to. Told where a single key is read, not in lists. */
  readonly grant?: GrantId;
}

/** Rows in the order of their keys, as of one revision. */
export interface Page {
  readonly rows: Row[];
  readonly more: boolean;
  readonly revision: Revision;
}

/** A key that was set, or dropped when `value` is undefined. */
export interface Change {
  readonly key: string;
  readonly value: unknown;
  readonly revision: Revision;
}

/** The key must have this revision. */
export interface Condition {
  readonly key: string;
  readonly revision: Revision;
}

/** A key to be set or dropped. */
export type Write =
  { readonly set: string; readonly value: unknown; readonly grant?: GrantId } | { readonly drop: string };

function toRow({ key, data, stamp, tether }: z.infer<typeof row>): Row {
  const plain = { key, value: data, revision: stamp as Revision };
  return tether == null ? plain : { ...plain, grant: tether as GrantId };
}

export const readRow = (body: unknown): Row => toRow(row.parse(body));

/** Throws on anything else. */
export function readPage(body: unknown): Page {
  const page = rows.parse(body);
  return { rows: page.rows.map(toRow), more: page.more ?? false, revision: page.ledger as Revision };
}

export const readRevision = (body: unknown): Revision => committed.parse(body).ledger as Revision;
export const readFailed = (body: unknown): string[] => conflict.parse(body).failed;
export const readGrant = (body: unknown): GrantId => grant.parse(body).tether as GrantId;

/** Throws on anything else. */
export function readChanges(body: unknown): { revision: Revision; changes: Change[] } {
  const read = changes.parse(body);
  const list: Change[] = [];
  for (const c of read.news ?? []) {
    const key = c.set ?? c.drop;
    if (key == null) continue;
    list.push({ key, value: c.set == null ? undefined : c.data, revision: c.stamp as Revision });
  }
  return { revision: read.ledger as Revision, changes: list };
}

/** The body of a transaction. */
export function commitBody(conditions: readonly Condition[], writes: readonly Write[]): object {
  return {
    if: conditions.map((c) => ({ key: c.key, stamp: c.revision })),
    writes: writes.map(writeBody),
  };
}

function writeBody(write: Write): object {
  if ('drop' in write) return { drop: write.drop };
  const { set, value, grant: tether } = write;
  return tether === undefined ? { set, data: value } : { set, data: value, tether };
}
