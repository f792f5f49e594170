/**
 * The reference implementation of `OwnershipClaims` on a store with conditional writes, with two keys for each unit.
 * Tests, simulations and measurements use this implementation; the controllers record leadership in
 * `src/leadership/failover/leader-claims.ts`.
 */
import type { MemberId } from '@plumyoke/membership';
import {
  type ClaimableReading,
  type ClaimResult,
  OwnershipConfirmation,
  type FencingEpoch,
  NO_REVISION,
  type Owner,
  type Ownership,
  type OwnershipClaims,
  type OwnershipReading,
  type UnitId,
  type UnitRevisions,
} from '../ownership.js';
import {
  DamagedRecordError,
  decodeEpoch,
  decodeHolder,
  encodeEpoch,
  encodeHolder,
} from './ownership-record.js';
import {
  type CommitResult,
  type ConditionalStore,
  type StoreCondition,
  type StoredValue,
  StoreError,
  StoreUnavailableError,
  StoreOutcomeUnknownError,
  type StoreWrite,
} from './conditional-store.js';

const holderKey = (unit: UnitId): string => `ownership/${unit}/holder`;
const epochKey = (unit: UnitId): string => `ownership/${unit}/epoch`;

/** The two records of a unit as read from the store; null: the key does not exist. */
interface UnitRecords {
  readonly holder: StoredValue | null;
  readonly epoch: StoredValue | null;
}

/**
 * Keeps ownership records in a conditional store. The epoch has its own key, so that changes of the holder's record
 * (heartbeats, a release) do not fail writes of the owner that are in flight.
 */
export class OwnershipRegistry implements OwnershipClaims {
  private heartbeatCount = 0;

  constructor(private readonly store: ConditionalStore) {}

  async read(unit: UnitId): Promise<OwnershipReading | null> {
    try {
      return toOwnershipReading(unit, await this.readRecords(unit));
    } catch (error) {
      if (error instanceof DamagedRecordError)
        return { kind: 'damaged', key: error.key, problem: error.problem };
      if (error instanceof StoreError) return null;
      throw error;
    }
  }

  private async readRecords(unit: UnitId): Promise<UnitRecords> {
    const [holder, epoch] = await Promise.all([
      this.store.get(holderKey(unit)),
      this.store.get(epochKey(unit)),
    ]);
    return { holder, epoch };
  }

  async claim(unit: UnitId, claimant: Owner, reading: ClaimableReading): Promise<ClaimResult> {
    const epoch = (reading.epoch + 1) as FencingEpoch;
    const conditions: StoreCondition[] = [
      { key: holderKey(unit), revision: reading.revisions.holder },
      { key: epochKey(unit), revision: reading.revisions.epoch },
    ];
    const writes: StoreWrite[] = [
      { key: holderKey(unit), value: encodeHolder({ state: 'held', owner: claimant, epoch }) },
      { key: epochKey(unit), value: encodeEpoch(epoch) },
    ];
    try {
      const result = await this.store.commit(conditions, writes);
      if (!result.committed) return { kind: 'superseded' };
      return { kind: 'won', ownership: { unit, owner: claimant, epoch, epochRevision: result.revision } };
    } catch (error) {
      if (error instanceof StoreUnavailableError) return { kind: 'unavailable' };
      if (error instanceof StoreOutcomeUnknownError) return { kind: 'uncertain' };
      throw error;
    }
  }

  // Claims are the only writes to the epoch's key, so an unchanged revision of that key confirms the ownership.
  async confirm({ unit, epochRevision }: Ownership): Promise<OwnershipConfirmation> {
    try {
      const epoch = await this.store.get(epochKey(unit));
      return epoch?.revision === epochRevision
        ? OwnershipConfirmation.Held
        : OwnershipConfirmation.Superseded;
    } catch (error) {
      if (error instanceof StoreError) return OwnershipConfirmation.Unknown;
      throw error;
    }
  }

  async writeHeartbeat(ownership: Ownership): Promise<void> {
    const { unit, owner, epoch } = ownership;
    this.heartbeatCount++;
    const value = encodeHolder({ state: 'held', owner, epoch }, this.heartbeatCount);
    await this.write(ownership, [{ key: holderKey(unit), value }]);
  }

  async release(ownership: Ownership, successor: MemberId | null): Promise<void> {
    const { unit, epoch } = ownership;
    const value = encodeHolder({ state: 'released', successor, epoch });
    await this.write(ownership, [{ key: holderKey(unit), value }]);
  }

  /**
   * Writes the owner's own records. Failed writes are not retried, because the next heartbeat or claim replaces them.
   */
  private async write(ownership: Ownership, writes: readonly StoreWrite[]): Promise<void> {
    try {
      await this.commitAs(ownership, [], writes);
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
    }
  }

  /** Commits a transaction of the owner. A transaction that reaches the store after a later claim is not committed. */
  commitAs(
    { unit, epochRevision }: Ownership,
    conditions: readonly StoreCondition[],
    writes: readonly StoreWrite[],
  ): Promise<CommitResult> {
    return this.store.commit([{ key: epochKey(unit), revision: epochRevision }, ...conditions], writes);
  }
}

function toOwnershipReading(unit: UnitId, { holder, epoch: storedEpoch }: UnitRecords): OwnershipReading {
  const epoch = decodeEpoch(epochKey(unit), storedEpoch?.value);
  const revisions: UnitRevisions = {
    holder: holder?.revision ?? NO_REVISION,
    epoch: storedEpoch?.revision ?? NO_REVISION,
  };
  if (holder === null) return { kind: 'unowned', epoch, revisions };
  const record = decodeHolder(holderKey(unit), holder.value);
  // The two keys are not read atomically. A claim between the reads leaves a holder with a newer epoch than the epoch
  // read; a claim based on such a reading fails, because the revision of the epoch's key has changed.
  if (record.epoch > epoch) return { kind: 'unowned', epoch, revisions };
  if (record.state === 'released') return { kind: 'released', successor: record.successor, epoch, revisions };
  return { kind: 'owned', owner: record.owner, epoch, revisions };
}
