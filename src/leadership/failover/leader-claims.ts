/**
 * The leadership of the cluster as one unit of ownership: its records are `leader` and `epoch`. A claim fences the
 * former leader and ends its grant; who leads then is decided by the election.
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
import { StoreRefusedError, type KeyValueStore, StoreOutcomeUnknownError } from '../../store/client.js';
import { keys } from '../../store/keys.js';
import { encodeEpoch, epochRecord, leaderRecord } from '../../store/leader-record.js';
import type { KeyValue } from '../../wire/key-value-store.js';
import type { Election } from '../../leadership/election.js';

/** All machines and jobs: one unit today. */
export const CLUSTER = 'cluster' as UnitId;

/** After the former leader's grant was ended, the election is given this long. */
const ELECTION_MS = 1000;
const ELECTION_LOOK_MS = 20;

/** What the claims need of the node. */
export interface LeaderClaimsEnvironment {
  readonly store: KeyValueStore;
  readonly clock: Clock;
  readonly election: Election;
  /** Whether every controller reckons with a leader that is replaced before its grant ends. */
  mayReplaceEarly(): boolean;
}

/** Whether the error tells that the state service could not be asked, and nothing else. */
function stateFailed(error: unknown): boolean {
  return error instanceof StoreRefusedError || error instanceof StoreOutcomeUnknownError;
}

function revisionsOf(leader: KeyValue | null, epoch: KeyValue | null): UnitRevisions {
  return {
    holder: (leader?.revision ?? NO_REVISION) as number as StoreRevision,
    epoch: (epoch?.revision ?? NO_REVISION) as number as StoreRevision,
  };
}

/** What the two records tell; null: the leader runs without failure detection, and only its grant tells of it. */
function interpret(leader: KeyValue | null, epochRow: KeyValue | null): OwnershipReading | null {
  const epoch = epochRecord(epochRow?.value).epoch as number as FencingEpoch;
  const revisions = revisionsOf(leader, epochRow);
  if (leader === null) return { kind: 'unowned', epoch, revisions };
  const record = leaderRecord(leader.value);
  if (record === null) return { kind: 'damaged', key: keys.leader, problem: 'is not a record' };
  if (record.process === undefined) return null;
  const member = record.member as string as MemberId;
  const owner: Owner = { member, process: record.process as ProcessId };
  return { kind: 'owned', owner, epoch, revisions };
}

/** The election's records by the takeover package's interface. */
export class LeaderClaims implements OwnershipClaims {
  constructor(private readonly environment: LeaderClaimsEnvironment) {}

  async read(): Promise<OwnershipReading | null> {
    const { store } = this.environment;
    try {
      const leader = await store.get(keys.leader);
      return interpret(leader, await store.get(keys.epoch));
    } catch (error) {
      if (stateFailed(error)) return null;
      throw error;
    }
  }

  async claim(_unit: UnitId, claimant: Owner, found: Unowned | Owned | Released): Promise<ClaimResult> {
    // What nobody holds, the election takes by itself.
    if (found.kind !== 'owned' || !this.environment.mayReplaceEarly()) return { kind: 'superseded' };
    try {
      if (!(await this.endFormerLeadership(found))) return { kind: 'superseded' };
    } catch (error) {
      if (error instanceof StoreRefusedError) return { kind: 'unavailable' };
      if (error instanceof StoreOutcomeUnknownError) return { kind: 'uncertain' };
      throw error;
    }
    return this.awaitElection(claimant);
  }

  /**
   * Two steps. First the epoch's record is marked, if the leader has shown no life: its revision changes, so that every
   * write of the former leader fails, and whoever leads next reckons with a predecessor that still feels sure of its
   * grant. Then its grant is ended, which frees the leader's key.
   */
  private async endFormerLeadership({ epoch, revisions }: Owned): Promise<boolean> {
    const { store } = this.environment;
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
    const { clock } = this.environment;
    // Another node may win: then its record is found at the next look.
    for (let waitedMs = 0; waitedMs < ELECTION_MS; waitedMs += ELECTION_LOOK_MS) {
      const ownership = this.held(owner);
      if (ownership) return { kind: 'won', ownership };
      await sleep(clock, ELECTION_LOOK_MS);
    }
    return { kind: 'superseded' };
  }

  private held(owner: Owner): Ownership | null {
    const { currentTerm } = this.environment.election;
    if (currentTerm === null) return null;
    return {
      unit: CLUSTER,
      owner,
      epoch: currentTerm.epoch as number as FencingEpoch,
      epochRevision: currentTerm.epochRevision as number as StoreRevision,
    };
  }

  async confirm({ epochRevision }: Ownership): Promise<Confirmation> {
    try {
      const epoch = await this.environment.store.get(keys.epoch);
      const held = epoch?.revision === (epochRevision as number as Revision);
      return held ? Confirmation.Held : Confirmation.Superseded;
    } catch (error) {
      if (stateFailed(error)) return Confirmation.Unknown;
      throw error;
    }
  }

  async writeHeartbeat(): Promise<void> {
    try {
      await this.environment.election.refreshLeaderRecord();
    } catch (error) {
      if (!stateFailed(error)) throw error;
    }
  }

  /** A leader that leaves resigns by the election's own way. */
  release(): Promise<void> {
    return Promise.resolve();
  }
}
