/** Ownership in a store with conditional writes, two keys a unit. */
import type { MemberId } from '@plumyoke/membership';
import {
  type ClaimResult,
  Confirmation,
  type FencingEpoch,
  NO_REVISION,
  type Owned,
  type Owner,
  type Ownership,
  type OwnershipClaims,
  type OwnershipReading,
  type Released,
  type UnitId,
  type UnitRevisions,
  type Unowned,
} from './ownership.js';
import { DamagedRecord, decodeEpoch, decodeHolder, encodeEpoch, encodeHolder } from './ownership-record.js';
import {
  type CommitResult,
  type ConditionalStore,
  type StoreCondition,
  type StoredValue,
  storeFailed,
  StoreUnavailable,
  StoreUncertain,
  type StoreWrite,
} from './store.js';

const holderKey = (unit: UnitId): string => `ownership/${unit}/holder`;
const epochKey = (unit: UnitId): string => `ownership/${unit}/epoch`;

/** Both keys of a unit as they were read. */
interface UnitRows {
  readonly holder: StoredValue | null;
  readonly epoch: StoredValue | null;
}

/**
 * The epoch has a key of its own, so that the holder's record can change (signs of life, a release) without making
 * the owner's writes under way fail.
 */
export class OwnershipRegistry implements OwnershipClaims {
  private signs = 0;

  constructor(private readonly store: ConditionalStore) {}

  async read(unit: UnitId): Promise<OwnershipReading | null> {
    try {
      return interpret(unit, await this.rows(unit));
    } catch (error) {
      if (error instanceof DamagedRecord) return { kind: 'damaged', key: error.key, problem: error.problem };
      if (storeFailed(error)) return null;
      throw error;
    }
  }

  private async rows(unit: UnitId): Promise<UnitRows> {
    const [holder, epoch] = await Promise.all([
      this.store.get(holderKey(unit)),
      this.store.get(epochKey(unit)),
    ]);
    return { holder, epoch };
  }

  async claim(unit: UnitId, claimant: Owner, found: Unowned | Owned | Released): Promise<ClaimResult> {
    const epoch = (found.epoch + 1) as FencingEpoch;
    const conditions: StoreCondition[] = [
      { key: holderKey(unit), revision: found.revisions.holder },
      { key: epochKey(unit), revision: found.revisions.epoch },
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
      if (error instanceof StoreUnavailable) return { kind: 'unavailable' };
      if (error instanceof StoreUncertain) return { kind: 'uncertain' };
      throw error;
    }
  }

  /** Every claim changes the epoch's key, and nothing else does. */
  async confirm({ unit, epochRevision }: Ownership): Promise<Confirmation> {
    try {
      const epoch = await this.store.get(epochKey(unit));
      return epoch?.revision === epochRevision ? Confirmation.Held : Confirmation.Superseded;
    } catch (error) {
      if (storeFailed(error)) return Confirmation.Unknown;
      throw error;
    }
  }

  async showLife(ownership: Ownership): Promise<void> {
    const { unit, owner, epoch } = ownership;
    this.signs++;
    const value = encodeHolder({ state: 'held', owner, epoch }, this.signs);
    await this.write(ownership, [{ key: holderKey(unit), value }]);
  }

  async release(ownership: Ownership, heir: MemberId | null): Promise<void> {
    const { unit, epoch } = ownership;
    const value = encodeHolder({ state: 'released', heir, epoch });
    await this.write(ownership, [{ key: holderKey(unit), value }]);
  }

  /** A write of the owner's own records; what the store does not carry out is asked for again by whoever needs it. */
  private async write(ownership: Ownership, writes: readonly StoreWrite[]): Promise<void> {
    try {
      await this.commitAs(ownership, [], writes);
    } catch (error) {
      if (!storeFailed(error)) throw error;
    }
  }

  /** A transaction of the owner: it fails once another epoch has begun, however late it arrives. */
  commitAs(
    { unit, epochRevision }: Ownership,
    conditions: readonly StoreCondition[],
    writes: readonly StoreWrite[],
  ): Promise<CommitResult> {
    return this.store.commit([{ key: epochKey(unit), revision: epochRevision }, ...conditions], writes);
  }
}

function interpret(unit: UnitId, { holder, epoch: epochRow }: UnitRows): OwnershipReading {
  const epoch = decodeEpoch(epochKey(unit), epochRow?.value);
  const revisions: UnitRevisions = {
    holder: holder?.revision ?? NO_REVISION,
    epoch: epochRow?.revision ?? NO_REVISION,
  };
  if (holder === null) return { kind: 'unowned', epoch, revisions };
  const record = decodeHolder(holderKey(unit), holder.value);
  // The two keys are read one after the other: between the reads a claim may have set both.
  if (record.epoch > epoch) return { kind: 'unowned', epoch, revisions };
  if (record.state === 'released') return { kind: 'released', heir: record.heir, epoch, revisions };
  return { kind: 'owned', owner: record.owner, epoch, revisions };
}
