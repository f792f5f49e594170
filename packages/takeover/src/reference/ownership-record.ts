/**
 * The stored records of a unit: its holder, and the epoch that fences earlier holders. The names in the schemas are the
 * stored form (`heir`: the successor; `signs`: the heartbeat count) and must not change.
 */
import type { MemberId, ProcessId } from '@plumyoke/membership';
import * as z from 'zod/mini';
import { type FencingEpoch, NO_EPOCH, type Owner } from '../ownership.js';

/** The version of the records' format; a reader that finds another one does not act. */
const RECORD_FORMAT = 1;

const name = z.string().check(z.minLength(1));
const epoch = z.int().check(z.gte(1));
const holderSchema = z.discriminatedUnion('state', [
  z.object({
    format: z.literal(RECORD_FORMAT),
    state: z.literal('held'),
    member: name,
    process: name,
    epoch,
  }),
  z.object({ format: z.literal(RECORD_FORMAT), state: z.literal('released'), heir: z.nullable(name), epoch }),
]);
const epochSchema = z.object({ format: z.literal(RECORD_FORMAT), epoch });

/** The content of a holder's record. */
export type HolderRecord =
  | { readonly state: 'held'; readonly owner: Owner; readonly epoch: FencingEpoch }
  | { readonly state: 'released'; readonly successor: MemberId | null; readonly epoch: FencingEpoch };

/** Thrown for a record that cannot be decoded. */
export class DamagedRecordError extends Error {
  override readonly name = 'DamagedRecordError';
  readonly code = 'DAMAGED_RECORD';

  constructor(
    readonly key: string,
    readonly problem: string,
    options?: ErrorOptions,
  ) {
    super(`${key}: ${problem}`, options);
  }
}

/** Encodes a holder's record. `heartbeatCount` makes every heartbeat of the holder a different value. */
export function encodeHolder(record: HolderRecord, heartbeatCount = 0): object {
  const shared = { format: RECORD_FORMAT, state: record.state, epoch: record.epoch, signs: heartbeatCount };
  return record.state === 'held' ? { ...shared, ...record.owner } : { ...shared, heir: record.successor };
}

function problemOf(error: z.core.$ZodError): string {
  const issue = error.issues[0];
  if (!issue) return 'cannot be read';
  const field = issue.path.join('.');
  return field === '' ? 'is not a record' : `field ${field} cannot be read`;
}

/** Decodes a holder's record. Throws `DamagedRecordError`. */
export function decodeHolder(key: string, value: unknown): HolderRecord {
  const parsed = holderSchema.safeParse(value);
  if (!parsed.success) throw new DamagedRecordError(key, problemOf(parsed.error), { cause: parsed.error });
  const { data } = parsed;
  if (data.state === 'released') {
    return { state: 'released', successor: data.heir as MemberId | null, epoch: data.epoch as FencingEpoch };
  }
  const owner: Owner = { member: data.member as MemberId, process: data.process as ProcessId };
  return { state: 'held', owner, epoch: data.epoch as FencingEpoch };
}

/** Encodes an epoch's record. */
export function encodeEpoch(value: FencingEpoch): object {
  return { format: RECORD_FORMAT, epoch: value };
}

/** Decodes an epoch's record; an absent one means that the unit never had an owner. Throws `DamagedRecordError`. */
export function decodeEpoch(key: string, value: unknown): FencingEpoch {
  if (value === undefined) return NO_EPOCH;
  const parsed = epochSchema.safeParse(value);
  if (!parsed.success) throw new DamagedRecordError(key, problemOf(parsed.error), { cause: parsed.error });
  return parsed.data.epoch as FencingEpoch;
}
