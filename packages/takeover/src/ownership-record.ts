/** The records of a unit: its holder, and the epoch that fences earlier holders. */
import type { MemberId, ProcessId } from '@plumyoke/membership';
import * as z from 'zod/mini';
import { type FencingEpoch, NO_EPOCH, type Owner } from './ownership.js';

/** The form of the records; a reader that finds another one does not act. */
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

/** What a holder's record says. */
export type HolderRecord =
  | { readonly state: 'held'; readonly owner: Owner; readonly epoch: FencingEpoch }
  | { readonly state: 'released'; readonly heir: MemberId | null; readonly epoch: FencingEpoch };

/** A record that cannot be read. */
export class DamagedRecord extends Error {
  constructor(
    readonly key: string,
    readonly problem: string,
  ) {
    super(`${key}: ${problem}`);
    this.name = 'DamagedRecord';
  }
}

/** `signs`: counts the holder's signs of life, so that each makes another value. */
export function encodeHolder(record: HolderRecord, signs = 0): object {
  const shared = { format: RECORD_FORMAT, state: record.state, epoch: record.epoch, signs };
  return record.state === 'held' ? { ...shared, ...record.owner } : { ...shared, heir: record.heir };
}

function problemOf(error: z.core.$ZodError): string {
  const issue = error.issues[0];
  if (!issue) return 'cannot be read';
  const field = issue.path.join('.');
  return field === '' ? 'is not a record' : `field ${field} cannot be read`;
}

/** Throws `DamagedRecord`. */
export function decodeHolder(key: string, value: unknown): HolderRecord {
  const read = holderSchema.safeParse(value);
  if (!read.success) throw new DamagedRecord(key, problemOf(read.error));
  const { data } = read;
  if (data.state === 'released') {
    return { state: 'released', heir: data.heir as MemberId | null, epoch: data.epoch as FencingEpoch };
  }
  const owner: Owner = { member: data.member as MemberId, process: data.process as ProcessId };
  return { state: 'held', owner, epoch: data.epoch as FencingEpoch };
}

/** The value of the epoch's key. */
export function encodeEpoch(value: FencingEpoch): object {
  return { format: RECORD_FORMAT, epoch: value };
}

/** Absent: nobody has ever owned the unit. Throws `DamagedRecord`. */
export function decodeEpoch(key: string, value: unknown): FencingEpoch {
  if (value === undefined) return NO_EPOCH;
  const read = epochSchema.safeParse(value);
  if (!read.success) throw new DamagedRecord(key, problemOf(read.error));
  return read.data.epoch as FencingEpoch;
}
