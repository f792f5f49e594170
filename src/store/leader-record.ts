/** Codecs of the records `leader` (the current leader) and `epoch` (the latest leadership epoch). */
import type { Epoch, MemberId } from '../model/ids.js';
import { UNVERSIONED } from '../model/protocol.js';

/** Record of the current leader. The store removes it when the leader's lease expires. */
export interface LeaderRecord {
  readonly member: MemberId;
  readonly epoch: Epoch;
  /** Protocol version of the leader's program. */
  readonly version: number;
  /** Incarnation of the leader's process in the failure detector; absent if the leader runs no failure detector. */
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
 * @param refreshCount Number of times that the leader has refreshed its record as a heartbeat in the store. The count
 * makes the value of each refresh differ from the previous value. A count of 0, or without `process`, is not stored.
 */
export function encodeLeader(
  { member, epoch, version, process }: LeaderRecord,
  refreshCount = 0,
): StoredLeader {
  const stored = { member, epoch, speaks: version };
  if (process === undefined) return stored;
  return refreshCount === 0 ? { ...stored, process } : { ...stored, process, signs: refreshCount };
}

/** Decodes the value under `leader`. Returns null if the value is not a leader record. */
export function decodeLeader(value: unknown): LeaderRecord | null {
  const stored = value as Partial<StoredLeader> | null | undefined;
  if (!stored || typeof stored.member !== 'string' || typeof stored.epoch !== 'number') return null;
  const version = typeof stored.speaks === 'number' ? stored.speaks : UNVERSIONED;
  const record = { member: stored.member as MemberId, epoch: stored.epoch as Epoch, version };
  return typeof stored.process === 'string' ? { ...record, process: stored.process } : record;
}

/** The record under `epoch`. */
interface EpochRecord {
  /** Latest epoch in which a controller became leader; 0 if there has been no leader. */
  readonly epoch: Epoch;
  /**
   * Whether a leader may have been replaced before its lease expired. Such a leader may consider its lease valid for
   * up to the full lease duration after its successor's takeover.
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

/** Decodes the value under `epoch`. An absent value decodes to epoch 0: there has been no leader. */
export function decodeEpoch(value: unknown): EpochRecord {
  const stored = value as Partial<StoredEpoch> | null | undefined;
  const epoch = typeof stored?.n === 'number' ? stored.n : 0;
  return { epoch: epoch as Epoch, early: stored?.early === true };
}
