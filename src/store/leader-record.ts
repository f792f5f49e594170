/** The records `leader` and `epoch`: who leads, and in which epoch. */
import type { Epoch, MemberId } from '../model/ids.js';
import { UNVERSIONED } from '../model/protocol.js';

/** The leader's record, bound to its grant. */
export interface LeaderRecord {
  readonly member: MemberId;
  readonly epoch: Epoch;
  /** The protocol version of the leader's program. */
  readonly version: number;
}

interface StoredLeader {
  readonly member: string;
  readonly epoch: number;
  readonly speaks?: number;
}

/** The value under `leader`. */
export function encodeLeader({ member, epoch, version }: LeaderRecord): StoredLeader {
  return { member, epoch, speaks: version };
}

/** Null: no record of a leader. */
export function leaderRecord(value: unknown): LeaderRecord | null {
  const stored = value as Partial<StoredLeader> | null | undefined;
  if (!stored || typeof stored.member !== 'string' || typeof stored.epoch !== 'number') return null;
  const version = typeof stored.speaks === 'number' ? stored.speaks : UNVERSIONED;
  return { member: stored.member as MemberId, epoch: stored.epoch as Epoch, version };
}

/** The epoch last taken; 0: none yet. */
export function epochOf(value: unknown): Epoch {
  const v = value as { n?: unknown } | null | undefined;
  return (typeof v?.n === 'number' ? v.n : 0) as Epoch;
}
