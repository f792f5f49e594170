import * as z from 'zod/mini';
import type { LeaseId, Revision } from '../model/ids.js';
import { nonNegativeInteger } from './common.js';

const row = z.object({
  key: z.string(),
  data: z.unknown(),
  stamp: nonNegativeInteger,
  tether: z.nullish(nonNegativeInteger),
});
const rows = z.object({ rows: z.array(row), more: z.nullish(z.boolean()), ledger: nonNegativeInteger });
const committed = z.object({ ledger: nonNegativeInteger });
const conflict = z.object({ failed: z.array(z.string()), ledger: z.nullish(nonNegativeInteger) });
const grant = z.object({ tether: nonNegativeInteger });
const changes = z.object({
  ledger: nonNegativeInteger,
  news: z.nullish(
    z.array(
      z.object({
        set: z.nullish(z.string()),
        drop: z.nullish(z.string()),
        data: z.optional(z.unknown()),
        stamp: nonNegativeInteger,
      }),
    ),
  ),
});

/** A key with its value and the revision of its last change. */
export interface KeyValue {
  readonly key: string;
  readonly value: unknown;
  readonly revision: Revision;
  /** The grant that the key is bound to. Told where a single key is read, not in lists. */
  readonly lease?: LeaseId;
}

/** Rows in the order of their keys, as of one revision. */
export interface KeyValuePage {
  readonly rows: KeyValue[];
  readonly more: boolean;
  readonly revision: Revision;
}

/** A key that was set, or dropped when `value` is undefined. */
export interface WatchEvent {
  readonly key: string;
  readonly value: unknown;
  readonly revision: Revision;
}

/** The key must have this revision. */
export interface Compare {
  readonly key: string;
  readonly revision: Revision;
}

/** A key to be set or dropped. */
export type WriteOperation =
  { readonly set: string; readonly value: unknown; readonly grant?: LeaseId } | { readonly drop: string };

function toRow({ key, data, stamp, tether }: z.infer<typeof row>): KeyValue {
  const plain = { key, value: data, revision: stamp as Revision };
  return tether == null ? plain : { ...plain, lease: tether as LeaseId };
}

export const readRow = (body: unknown): KeyValue => toRow(row.parse(body));

/** Throws on anything else. */
export function readPage(body: unknown): KeyValuePage {
  const page = rows.parse(body);
  return { rows: page.rows.map(toRow), more: page.more ?? false, revision: page.ledger as Revision };
}

export const readRevision = (body: unknown): Revision => committed.parse(body).ledger as Revision;
export const readFailed = (body: unknown): string[] => conflict.parse(body).failed;
export const readLease = (body: unknown): LeaseId => grant.parse(body).tether as LeaseId;

/** Throws on anything else. */
export function readWatchEvents(body: unknown): { revision: Revision; changes: WatchEvent[] } {
  const read = changes.parse(body);
  const list: WatchEvent[] = [];
  for (const c of read.news ?? []) {
    const key = c.set ?? c.drop;
    if (key == null) continue;
    list.push({ key, value: c.set == null ? undefined : c.data, revision: c.stamp as Revision });
  }
  return { revision: read.ledger as Revision, changes: list };
}

/** The body of a transaction. */
export function encodeTxn(conditions: readonly Compare[], writes: readonly WriteOperation[]): object {
  return {
    if: conditions.map((c) => ({ key: c.key, stamp: c.revision })),
    writes: writes.map(writeBody),
  };
}

function writeBody(write: WriteOperation): object {
  if ('drop' in write) return { drop: write.drop };
  const { set, value, grant: tether } = write;
  return tether === undefined ? { set, data: value } : { set, data: value, tether };
}
