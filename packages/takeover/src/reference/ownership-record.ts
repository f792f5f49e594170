/**
 * The stored records of a unit: its holder, and the epoch that fences earlier holders. The names of the stored fields
 * must not change: `heir` is the successor; `signs`, which is written but never decoded, is the heartbeat count.
 */
import type { MemberId, ProcessId } from '@plumyoke/membership';
import * as z from 'zod/mini';
import { type FencingEpoch, NO_EPOCH, type Owner } from '../ownership.js';

/** The version of the record format. Records of any other version are treated as damaged. */
const RECORD_FORMAT_VERSION = 1;

const nameSchema = z.string().check(z.minLength(1));
const epochSchema = z.int().check(z.gte(1));
const holderRecordSchema = z.discriminatedUnion('state', [
  z.object({
    format: z.literal(RECORD_FORMAT_VERSION),
    state: z.literal('held'),
    member: nameSchema,
    process: nameSchema,
    epoch: epochSchema,
  }),
  z.object({
    format: z.literal(RECORD_FORMAT_VERSION),
    state: z.literal('released'),
    heir: z.nullable(nameSchema),
    epoch: epochSchema,
  }),
]);
const epochRecordSchema = z.object({ format: z.literal(RECORD_FORMAT_VERSION), epoch: epochSchema });

/** The decoded content of a holder's record. */
export type HolderRecord =
  | { readonly state: 'held'; readonly owner: Owner; readonly epoch: FencingEpoch }
  | { readonly state: 'released'; readonly successor: MemberId | null; readonly epoch: FencingEpoch };

/** Reports a record that cannot be decoded. */
export class DamagedRecordError extends Error {
  override readonly name = 'DamagedRecordError';
  readonly code = 'DAMAGED_RECORD';

  constructor(
    readonly key: string,
    readonly problem: string,
    options?: ErrorOptions,
  ) {
    super(`record ${key} ${problem}`, options);
  }
}

/** Encodes a holder's record. `heartbeatCount` gives each heartbeat of the holder a different value. */
export function encodeHolder(record: HolderRecord, heartbeatCount = 0): object {
  const commonFields = {
    format: RECORD_FORMAT_VERSION,
    state: record.state,
    epoch: record.epoch,
    signs: heartbeatCount,
  };
  return record.state === 'held'
    ? { ...commonFields, ...record.owner }
    : { ...commonFields, heir: record.successor };
}

function describeSchemaError(error: z.core.$ZodError): string {
  const issue = error.issues[0];
  if (!issue) return 'cannot be decoded';
  const field = issue.path.join('.');
  return field === '' ? 'is not a JSON object' : `has a missing or invalid field ${field}`;
}

/** Decodes a holder's record. Throws `DamagedRecordError` if the value does not match the schema. */
export function decodeHolder(key: string, value: unknown): HolderRecord {
  const parsed = holderRecordSchema.safeParse(value);
  if (!parsed.success)
    throw new DamagedRecordError(key, describeSchemaError(parsed.error), { cause: parsed.error });
  const { data } = parsed;
  if (data.state === 'released') {
    return { state: 'released', successor: data.heir as MemberId | null, epoch: data.epoch as FencingEpoch };
  }
  const owner: Owner = { member: data.member as MemberId, process: data.process as ProcessId };
  return { state: 'held', owner, epoch: data.epoch as FencingEpoch };
}

/** Encodes an epoch's record. */
export function encodeEpoch(value: FencingEpoch): object {
  return { format: RECORD_FORMAT_VERSION, epoch: value };
}

/**
 * Decodes an epoch's record. An absent record means that the unit never had an owner. Throws `DamagedRecordError` if
 * the value does not match the schema.
 */
export function decodeEpoch(key: string, value: unknown): FencingEpoch {
  if (value === undefined) return NO_EPOCH;
  const parsed = epochRecordSchema.safeParse(value);
  if (!parsed.success)
    throw new DamagedRecordError(key, describeSchemaError(parsed.error), { cause: parsed.error });
  return parsed.data.epoch as FencingEpoch;
}
