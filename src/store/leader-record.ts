/** The records `leader` and `epoch`: who leads, and in which epoch. */
import type { Epoch, MemberId } from '../model/ids.js';
import { UNVERSIONED } from '../model/protocol.js';

/** The leader's record, bound to its grant. */
export interface LeaderRecord {
  readonly member: MemberId;
  readonly epoch: Epoch;
  /** The protocol version of the leader's program. */
  readonly version: number;
  /** The start of the leader's process, as the failure detector knows it; absent: the leader runs none. */
  readonly process?: string;
}

interface StoredLeader {
  readonly member: string;
  readonly epoch: number;
  readonly speaks?: number;
  readonly process?: string;
  /** Counts signs of life, so that each makes another value. */
  readonly signs?: number;
}

/** The value under `leader`. */
export function encodeLeader({ member, epoch, version, process }: LeaderRecord, signs = 0): StoredLeader {
  const stored = { member, epoch, speaks: version };
  if (process === undefined) return stored;
  return signs === 0 ? { ...stored, process } : { ...stored, process, signs };
}

/** Null: no record of a leader. */
export function decodeLeader(value: unknown): LeaderRecord | null {
  const stored = value as Partial<StoredLeader> | null | undefined;
  if (!stored || typeof stored.member !== 'string' || typeof stored.epoch !== 'number') return null;
  const version = typeof stored.speaks === 'number' ? stored.speaks : UNVERSIONED;
  const record = { member: stored.member as MemberId, epoch: stored.epoch as Epoch, version };
  return typeof stored.process === 'string' ? { ...record, process: stored.process } : record;
}

/** The record `epoch`. */
interface EpochRecord {
  /** The epoch last taken; 0: none yet. */
  readonly epoch: Epoch;
  /**
   * Leaders have been replaced here before their grants ended, so one may be sure of its grant for up to the grant's
   * whole life after a successor's takeover.
   */
  readonly early: boolean;
}

/** The value under `epoch`. */
export function encodeEpoch({ epoch, early }: EpochRecord): object {
  return early ? { n: epoch, early } : { n: epoch };
}

/** Reads the value under `epoch`; absent: no epoch was taken yet. */
export function decodeEpoch(value: unknown): EpochRecord {
  const stored = value as { n?: unknown; early?: unknown } | null | undefined;
  return { epoch: (typeof stored?.n === 'number' ? stored.n : 0) as Epoch, early: stored?.early === true };
}
