/**
 * The key-value store's HTTP bodies. On the wire a lease is a `tether`, a key's revision its `stamp`, and the store's
 * revision the `ledger`.
 */
import * as z from 'zod/mini';
import type { LeaseId, Revision } from '../model/ids.js';
import { nonNegativeInteger } from './common.js';

const keyValueSchema = z.object({
  key: z.string(),
  data: z.unknown(),
  stamp: nonNegativeInteger,
  tether: z.nullish(nonNegativeInteger),
});
const pageSchema = z.object({
  rows: z.array(keyValueSchema),
  more: z.nullish(z.boolean()),
  ledger: nonNegativeInteger,
});
const committedSchema = z.object({ ledger: nonNegativeInteger });
const conflictSchema = z.object({ failed: z.array(z.string()), ledger: z.nullish(nonNegativeInteger) });
const leaseSchema = z.object({ tether: nonNegativeInteger });
const watchSchema = z.object({
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
  /** The lease that the key is bound to. Present where a single key is read, not in lists. */
  readonly lease?: LeaseId;
}

/** Keys in order, as of one revision of the store. */
export interface KeyValuePage {
  readonly rows: KeyValue[];
  readonly more: boolean;
  readonly revision: Revision;
}

/** A key that was set, or deleted where `value` is undefined. */
export interface WatchEvent {
  readonly key: string;
  readonly value: unknown;
  readonly revision: Revision;
}

/** A condition of a transaction: the key must have this revision. */
export interface Compare {
  readonly key: string;
  readonly revision: Revision;
}

/** A write of a transaction: a key is set, and bound to a lease where one is given, or dropped. */
export type WriteOperation = SetOperation | { readonly drop: string };

/** A write of a transaction that sets a key. */
export interface SetOperation {
  readonly set: string;
  readonly value: unknown;
  readonly grant?: LeaseId;
}

function toKeyValue({ key, data, stamp, tether }: z.infer<typeof keyValueSchema>): KeyValue {
  const keyValue = { key, value: data, revision: stamp as Revision };
  return tether == null ? keyValue : { ...keyValue, lease: tether as LeaseId };
}

/** Reads the answer to a request for one key. Throws on anything else. */
export const readRow = (body: unknown): KeyValue => toKeyValue(keyValueSchema.parse(body));

/** Reads one page of a range. Throws on anything else. */
export function readPage(body: unknown): KeyValuePage {
  const page = pageSchema.parse(body);
  return { rows: page.rows.map(toKeyValue), more: page.more ?? false, revision: page.ledger as Revision };
}

/** Reads the revision of a transaction that was carried out. Throws on anything else. */
export const readRevision = (body: unknown): Revision => committedSchema.parse(body).ledger as Revision;
/** Reads the keys whose conditions failed. Throws on anything else. */
export const readFailed = (body: unknown): string[] => conflictSchema.parse(body).failed;
/** Reads a lease that was granted. Throws on anything else. */
export const readLease = (body: unknown): LeaseId => leaseSchema.parse(body).tether as LeaseId;

/** Reads the answer to a watch. Throws on anything else. */
export function readWatchEvents(body: unknown): { revision: Revision; changes: WatchEvent[] } {
  const { news, ledger } = watchSchema.parse(body);
  const changes: WatchEvent[] = [];
  for (const { set, drop, data, stamp } of news ?? []) {
    const key = set ?? drop;
    if (key == null) continue;
    changes.push({ key, value: set == null ? undefined : data, revision: stamp as Revision });
  }
  return { revision: ledger as Revision, changes };
}

/** Encodes a transaction: compare-and-swap of all conditions and writes at once. */
export function encodeTxn(compares: readonly Compare[], writes: readonly WriteOperation[]): object {
  return {
    if: compares.map(({ key, revision }) => ({ key, stamp: revision })),
    writes: writes.map(encodeWrite),
  };
}

function encodeWrite(write: WriteOperation): object {
  if ('drop' in write) return { drop: write.drop };
  const { set, value, grant: tether } = write;
  return tether === undefined ? { set, data: value } : { set, data: value, tether };
}
