/**
 * Presents the leadership of the cluster as a unit of ownership, stored in the records `leader` and `epoch`. A claim
 * fences the previous leader and revokes its lease; the election then decides which controller leads.
 */
import {
  type ClaimResult,
  OwnershipConfirmation,
  type FencingEpoch,
  type OwnedReading,
  type Owner,
  type Ownership,
  type OwnershipClaims,
  type OwnershipReading,
  type ReleasedReading,
  type StoreRevision,
  type UnitId,
  type UnitRevisions,
  type UnownedReading,
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

/** The single unit of ownership, which covers all machines and jobs. */
export const CLUSTER_UNIT = 'cluster' as UnitId;

/** How long a claim waits for this controller's election after the previous leader's lease was revoked. */
const ELECTION_TIMEOUT_MS = 1000;
/** How often a waiting claim checks whether this controller was elected. */
const ELECTION_POLL_INTERVAL_MS = 20;

/** The dependencies of `LeaderClaims`. */
export interface LeaderClaimsDependencies {
  readonly store: KeyValueStore;
  readonly clock: Clock;
  readonly election: Election;
  /**
   * Returns whether early takeover is enabled and every controller supports replacing a leader before its lease
   * expires.
   */
  mayReplaceEarly(): boolean;
}

/**
 * Returns whether the error is a failure of the key-value store: a refused request, or a request of unknown outcome.
 */
function isStoreFailure(error: unknown): boolean {
  return error instanceof StoreRefusedError || error instanceof StoreOutcomeUnknownError;
}

function revisionsOf(leader: KeyValue | null, epoch: KeyValue | null): UnitRevisions {
  return {
    holder: (leader?.revision ?? NO_REVISION) as number as StoreRevision,
    epoch: (epoch?.revision ?? NO_REVISION) as number as StoreRevision,
  };
}

/**
 * Returns the ownership that the two records state; null: the leader runs without failure detection, so only its lease
 * shows whether it is alive.
 */
function decodeOwnership(leader: KeyValue | null, epochRow: KeyValue | null): OwnershipReading | null {
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

/** Implements the takeover package's ownership claims on the election's records. */
export class LeaderClaims implements OwnershipClaims {
  constructor(private readonly dependencies: LeaderClaimsDependencies) {}

  async read(): Promise<OwnershipReading | null> {
    const { store } = this.dependencies;
    try {
      const leader = await store.get(keys.leader);
      return decodeOwnership(leader, await store.get(keys.epoch));
    } catch (error) {
      if (isStoreFailure(error)) return null;
      throw error;
    }
  }

  async claim(
    _unit: UnitId,
    claimant: Owner,
    reading: UnownedReading | OwnedReading | ReleasedReading,
  ): Promise<ClaimResult> {
    // Only an owned leadership may be claimed here, and only if replacing a leader early is allowed. The election, not
    // the takeover coordinator, claims a leadership without an owner.
    if (reading.kind !== 'owned' || !this.dependencies.mayReplaceEarly()) return { kind: 'superseded' };
    try {
      if (!(await this.fencePreviousLeader(reading))) return { kind: 'superseded' };
    } catch (error) {
      if (error instanceof StoreRefusedError) return { kind: 'unavailable' };
      if (error instanceof StoreOutcomeUnknownError) return { kind: 'uncertain' };
      throw error;
    }
    return this.awaitElection(claimant);
  }

  /**
   * Fences the previous leader in two steps. First, unless the leader record or the epoch record has changed since the
   * reading, the epoch record is marked: its revision changes, so that every write of the previous leader fails, and
   * the mark lets the next leader allow for a predecessor that still considers its lease valid. Then the previous
   * leader's lease is revoked, which removes the leader record. Resolves with whether the previous leader was fenced.
   */
  private async fencePreviousLeader({ epoch, revisions }: OwnedReading): Promise<boolean> {
    const { store } = this.dependencies;
    const leader = await store.get(keys.leader);
    const holder = revisions.holder as number as Revision;
    if (leader?.revision !== holder || leader.lease === undefined) return false;
    const markedEpoch = { epoch: epoch as number as Epoch, early: true };
    const fencingResult = await store.txn(
      [
        { key: keys.leader, revision: holder },
        { key: keys.epoch, revision: revisions.epoch as number as Revision },
      ],
      [{ set: keys.epoch, value: encodeEpoch(markedEpoch) }],
    );
    if (!fencingResult.ok) return false;
    await store.revokeLease(leader.lease);
    return true;
  }

  /** Waits until this controller is elected, for at most `ELECTION_TIMEOUT_MS`. */
  private async awaitElection(owner: Owner): Promise<ClaimResult> {
    const { clock } = this.dependencies;
    // If another controller wins the election, the next read of the ownership returns that controller's record.
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

  async confirm({ epochRevision }: Ownership): Promise<OwnershipConfirmation> {
    try {
      const epoch = await this.dependencies.store.get(keys.epoch);
      const isHeld = epoch?.revision === (epochRevision as number as Revision);
      return isHeld ? OwnershipConfirmation.Held : OwnershipConfirmation.Superseded;
    } catch (error) {
      if (isStoreFailure(error)) return OwnershipConfirmation.Unknown;
      throw error;
    }
  }

  /**
   * Refreshes the leader record, which shows peers that receive no messages from this controller that it is alive. A
   * failure of the key-value store is ignored.
   */
  async writeHeartbeat(): Promise<void> {
    try {
      await this.dependencies.election.refreshLeaderRecord();
    } catch (error) {
      if (!isStoreFailure(error)) throw error;
    }
  }

  /** Does nothing, because a leader that shuts down resigns through the election. */
  release(): Promise<void> {
    return Promise.resolve();
  }
}
