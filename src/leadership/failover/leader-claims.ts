/**
 * The leadership of the cluster as one unit of ownership: its records are `leader` and `epoch`. A claim fences the
 * former leader and revokes its lease; who leads then is decided by the election.
 */
import {
  type ClaimResult,
  Confirmation,
  type FencingEpoch,
  type Owned,
  type Owner,
  type Ownership,
  type OwnershipClaims,
  type OwnershipReading,
  type Released,
  type StoreRevision,
  type UnitId,
  type UnitRevisions,
  type Unowned,
} from '@plumyoke/takeover';
import type { MemberId, ProcessId } from '@plumyoke/membership';
import { type Epoch, NO_REVISION, type Revision } from '../../model/ids.js';
import { type Clock, sleep } from '../../model/time.js';
import type { KeyValueStore } from '../../store/client.js';
import { StoreRefusedError, StoreOutcomeUnknownError } from '../../store/errors.js';
import { keys } from '../../store/keys.js';
import { encodeEpoch, decodeEpoch, decodeLeader } from '../../store/leader-record.js';
import type { KeyValue } from '../../wire/key-value-store.js';
import type { Election } from '../election.js';

/** All machines and jobs: one unit today. */
export const CLUSTER_UNIT = 'cluster' as UnitId;

/** After the former leader's lease was revoked, the election is given this long. */
const ELECTION_TIMEOUT_MS = 1000;
const ELECTION_POLL_INTERVAL_MS = 20;

/** What the claims need of the controller. */
export interface LeaderClaimsDependencies {
  readonly store: KeyValueStore;
  readonly clock: Clock;
  readonly election: Election;
  /** Whether every controller reckons with a leader that is replaced before its lease expires. */
  mayReplaceEarly(): boolean;
}

/** Whether the error only says that the key-value store could not be asked. */
function isStoreFailure(error: unknown): boolean {
  return error instanceof StoreRefusedError || error instanceof StoreOutcomeUnknownError;
}

function revisionsOf(leader: KeyValue | null, epoch: KeyValue | null): UnitRevisions {
  return {
    holder: (leader?.revision ?? NO_REVISION) as number as StoreRevision,
    epoch: (epoch?.revision ?? NO_REVISION) as number as StoreRevision,
  };
}

/** Interprets the two records; null: the leader runs without failure detection, so only its lease shows whether it is alive. */
function interpret(leader: KeyValue | null, epochRow: KeyValue | null): OwnershipReading | null {
  const epoch = decodeEpoch(epochRow?.value).epoch as number as FencingEpoch;
  const revisions = revisionsOf(leader, epochRow);
  if (leader === null) return { kind: 'unowned', epoch, revisions };
  const record = decodeLeader(leader.value);
  if (record === null) return { kind: 'damaged', key: keys.leader, problem: 'is not a record' };
  if (record.process === undefined) return null;
  const member = record.member as string as MemberId;
  const owner: Owner = { member, process: record.process as ProcessId };
  return { kind: 'owned', owner, epoch, revisions };
}

/** Presents the election's records by the takeover package's interface. */
export class LeaderClaims implements OwnershipClaims {
  constructor(private readonly dependencies: LeaderClaimsDependencies) {}

  async read(): Promise<OwnershipReading | null> {
    const { store } = this.dependencies;
    try {
      const leader = await store.get(keys.leader);
      return interpret(leader, await store.get(keys.epoch));
    } catch (error) {
      if (isStoreFailure(error)) return null;
      throw error;
    }
  }

  async claim(_unit: UnitId, claimant: Owner, reading: Unowned | Owned | Released): Promise<ClaimResult> {
    // A free leadership is taken by the election.
    if (reading.kind !== 'owned' || !this.dependencies.mayReplaceEarly()) return { kind: 'superseded' };
    try {
      if (!(await this.fenceFormerLeader(reading))) return { kind: 'superseded' };
    } catch (error) {
      if (error instanceof StoreRefusedError) return { kind: 'unavailable' };
      if (error instanceof StoreOutcomeUnknownError) return { kind: 'uncertain' };
      throw error;
    }
    return this.awaitElection(claimant);
  }

  /**
   * Two steps. First the epoch's record is marked, unless the leader has refreshed its own: the epoch's revision changes,
   * so that every write of the former leader fails, and whoever leads next reckons with a predecessor that still
   * considers its lease valid. Then that lease is revoked, which frees the leader's key.
   */
  private async fenceFormerLeader({ epoch, revisions }: Owned): Promise<boolean> {
    const { store } = this.dependencies;
    const leader = await store.get(keys.leader);
    const holder = revisions.holder as number as Revision;
    if (leader?.revision !== holder || leader.lease === undefined) return false;
    const marked = { epoch: epoch as number as Epoch, early: true };
    const fenced = await store.txn(
      [
        { key: keys.leader, revision: holder },
        { key: keys.epoch, revision: revisions.epoch as number as Revision },
      ],
      [{ set: keys.epoch, value: encodeEpoch(marked) }],
    );
    if (!fenced.ok) return false;
    await store.revokeLease(leader.lease);
    return true;
  }

  private async awaitElection(owner: Owner): Promise<ClaimResult> {
    const { clock } = this.dependencies;
    // Another controller may win: then its record is found by the next read.
    for (let waitedMs = 0; waitedMs < ELECTION_TIMEOUT_MS; waitedMs += ELECTION_POLL_INTERVAL_MS) {
      const ownership = this.currentOwnership(owner);
      if (ownership) return { kind: 'won', ownership };
      await sleep(clock, ELECTION_POLL_INTERVAL_MS);
    }
    return { kind: 'superseded' };
  }

  private currentOwnership(owner: Owner): Ownership | null {
    const { currentTerm } = this.dependencies.election;
    if (currentTerm === null) return null;
    return {
      unit: CLUSTER_UNIT,
      owner,
      epoch: currentTerm.epoch as number as FencingEpoch,
      epochRevision: currentTerm.epochRevision as number as StoreRevision,
    };
  }

  async confirm({ epochRevision }: Ownership): Promise<Confirmation> {
    try {
      const epoch = await this.dependencies.store.get(keys.epoch);
      const isHeld = epoch?.revision === (epochRevision as number as Revision);
      return isHeld ? Confirmation.Held : Confirmation.Superseded;
    } catch (error) {
      if (isStoreFailure(error)) return Confirmation.Unknown;
      throw error;
    }
  }

  /** Refreshes the leader's record, as a sign of life for peers that cannot hear this controller. */
  async writeHeartbeat(): Promise<void> {
    try {
      await this.dependencies.election.refreshLeaderRecord();
    } catch (error) {
      if (!isStoreFailure(error)) throw error;
    }
  }

  /** Does nothing: a leader that leaves resigns through the election. */
  release(): Promise<void> {
    return Promise.resolve();
  }
}
