/**
 * Codecs of the key-value store's HTTP bodies. On the wire, a lease is a `tether`, the revision of a key is its
 * `stamp`, and the revision of the store is the `ledger`.
 */
import * as z from 'zod/mini';
import type { LeaseId, Revision } from '../model/ids.js';
import { nonNegativeInteger } from './common.js';

const wireKeyValueSchema = z.object({
  key: z.string(),
  data: z.unknown(),
  stamp: nonNegativeInteger,
  tether: z.nullish(nonNegativeInteger),
});
const pageSchema = z.object({
  rows: z.array(wireKeyValueSchema),
  more: z.nullish(z.boolean()),
  ledger: nonNegativeInteger,
});
const committedSchema = z.object({ ledger: nonNegativeInteger });
const conflictSchema = z.object({ failed: z.array(z.string()), ledger: z.nullish(nonNegativeInteger) });
const leaseSchema = z.object({ tether: nonNegativeInteger });
const watchReplySchema = z.object({
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

/** Maximum number of comparisons in a transaction, as a multiple of the maximum number of writes (PROTOCOL). */
export const MAX_COMPARES_PER_WRITE = 4;

/** A key with its value and the revision of its latest change. */
export interface KeyValue {
  readonly key: string;
  readonly value: unknown;
  readonly revision: Revision;
  /** Lease to which the key is bound. Present if a single bound key was read, absent in pages of a range. */
  readonly lease?: LeaseId;
}

/** One page of a range: keys in order, as of one revision of the store. */
export interface KeyValuePage {
  readonly rows: KeyValue[];
  readonly more: boolean;
  readonly revision: Revision;
}

/** A change to a key. `value` is undefined if the key was deleted. */
export interface WatchEvent {
  readonly key: string;
  readonly value: unknown;
  readonly revision: Revision;
}

/** Condition of a transaction: the key must have the given revision. */
export interface Compare {
  readonly key: string;
  readonly revision: Revision;
}

/** Write in a transaction: sets a key or deletes the key `drop`. */
export type WriteOperation = SetOperation | { readonly drop: string };

/** Write in a transaction that sets a key, and binds the key to the lease `grant` if given. */
export interface SetOperation {
  readonly set: string;
  readonly value: unknown;
  readonly grant?: LeaseId;
}

function toKeyValue({ key, data, stamp, tether }: z.infer<typeof wireKeyValueSchema>): KeyValue {
  const keyValue = { key, value: data, revision: stamp as Revision };
  return tether == null ? keyValue : { ...keyValue, lease: tether as LeaseId };
}

/** Decodes the answer to a request for one key. Throws if the body has another form. */
export const readKeyValue = (body: unknown): KeyValue => toKeyValue(wireKeyValueSchema.parse(body));

/** Decodes one page of a range. Throws if the body has another form. */
export function readPage(body: unknown): KeyValuePage {
  const page = pageSchema.parse(body);
  return { rows: page.rows.map(toKeyValue), more: page.more ?? false, revision: page.ledger as Revision };
}

/** Decodes the revision of a committed transaction. Throws if the body has another form. */
export const readRevision = (body: unknown): Revision => committedSchema.parse(body).ledger as Revision;
/** Decodes the keys whose conditions failed in a transaction. Throws if the body has another form. */
export const readFailedKeys = (body: unknown): string[] => conflictSchema.parse(body).failed;
/** Decodes the id of a granted lease. Throws if the body has another form. */
export const readLease = (body: unknown): LeaseId => leaseSchema.parse(body).tether as LeaseId;

/** Decodes the answer to a watch. Throws if the body has another form. */
export function readWatchEvents(body: unknown): { revision: Revision; changes: WatchEvent[] } {
  const { news, ledger } = watchReplySchema.parse(body);
  const changes: WatchEvent[] = [];
  for (const { set, drop, data, stamp } of news ?? []) {
    const key = set ?? drop;
    if (key == null) continue;
    changes.push({ key, value: set == null ? undefined : data, revision: stamp as Revision });
  }
  return { revision: ledger as Revision, changes };
}

/** Encodes a transaction: the store applies all writes atomically if all conditions hold. */
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
