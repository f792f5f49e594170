/** Codecs of the records `leader` and `epoch`: who leads, and in which epoch. */
import type { Epoch, MemberId } from '../model/ids.js';
import { UNVERSIONED } from '../model/protocol.js';

/** The leader's record, bound to its lease. */
export interface LeaderRecord {
  readonly member: MemberId;
  readonly epoch: Epoch;
  /** The protocol version of the leader's program. */
  readonly version: number;
  /** The incarnation of the leader's process in the failure detector; absent: the leader runs none. */
  readonly process?: string;
}

interface StoredLeader {
  readonly member: string;
  readonly epoch: number;
  readonly speaks?: number;
  readonly process?: string;
  readonly signs?: number;
}

/**
 * Encodes the value under `leader`.
 *
 * @param livenessCount Counts the signs of life that the leader has written, so that each is another value.
 */
export function encodeLeader(
  { member, epoch, version, process }: LeaderRecord,
  livenessCount = 0,
): StoredLeader {
  const stored = { member, epoch, speaks: version };
  if (process === undefined) return stored;
  return livenessCount === 0 ? { ...stored, process } : { ...stored, process, signs: livenessCount };
}

/** Decodes the value under `leader`; null: it is no record of a leader. */
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
   * Leaders have been replaced here before their leases expired, so one may believe in its lease for up to the
   * lease's whole duration after a successor's failover.
   */
  readonly early: boolean;
}

interface StoredEpoch {
  readonly n: number;
  readonly early?: true;
}

/** Encodes the value under `epoch`. */
export function encodeEpoch({ epoch, early }: EpochRecord): StoredEpoch {
  return early ? { n: epoch, early } : { n: epoch };
}

/** Decodes the value under `epoch`; absent: no epoch was taken yet. */
export function decodeEpoch(value: unknown): EpochRecord {
  const stored = value as Partial<StoredEpoch> | null | undefined;
  const epoch = typeof stored?.n === 'number' ? stored.n : 0;
  return { epoch: epoch as Epoch, early: stored?.early === true };
}
