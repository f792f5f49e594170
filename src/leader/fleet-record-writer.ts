import type { LeaderContext } from '../core/context.js';
import type { FleetManager } from '../fleet/fleet-manager.js';
import { errorMessage } from '../log/logger.js';
import { type MachineId, NO_REVISION, type Revision } from '../model/ids.js';
import type { Machine } from '../model/machine.js';
import { type MonotonicTime, since } from '../model/time.js';
import type { TokenBucket } from '../net/token-bucket.js';
import { keys } from '../store/keys.js';
import { encodeFleetChunk, encodeMachine, type StoredMachine } from '../store/machine-record.js';
import type { KeyValue, WriteOperation } from '../wire/key-value-store.js';
import type { Worker } from '../workers/state/worker.js';
import type { WriteCounts } from './write-counts.js';
import { fetchRevision, stepDownIfDeposed } from './write-conflicts.js';

/** A record whose value differs from the one that was last written. */
interface ChangedRecord {
  readonly key: string;
  readonly value: unknown;
  readonly text: string;
  readonly bytes: number;
}

/** The parts of the leader that `FleetRecordWriter` works with. */
interface FleetRecordWriterParts {
  readonly fleet: FleetManager;
  /** The writes per second that this leader may make. */
  readonly writeBudget: TokenBucket;
  readonly writeCounts: WriteCounts;
}

const MAX_MACHINES_PER_RECORD = 120;
/** A transaction may carry 64 KiB in all (PROTOCOL). */
const MAX_TXN_BYTES = 48 * 1024;
/** Changes within this time share one save: what a record lacks, heartbeats and the cloud's list supply. */
const MIN_SAVE_INTERVAL_MS = 2000;
/** Under load task starts are written first, but a save is not delayed for longer than this. */
const MAX_SAVE_INTERVAL_MS = 15_000;
/** The share of the budget's burst that is reserved for task starts. */
const RESERVED_FOR_STARTS = 0.4;

/**
 * Saves the rented machines and the forecasts' weights in the store. A machine keeps its place in the records, and
 * only records that have changed are written: at size, each rental would otherwise rewrite the whole fleet and take
 * the writes that task starts need.
 */
export class FleetRecordWriter {
  private readonly recordIndexOf = new Map<MachineId, number>();
  /** By the time of day, in milliseconds since 1970. */
  private readonly rentedAtOf = new Map<MachineId, number>();
  /** How many machines each record holds. */
  private readonly recordSizes: number[] = [];
  /** Fleet records in the store, ours and those of earlier leaders. */
  private storedRecordCount = 0;
  /** The text that each key was last written with. */
  private readonly writtenTexts = new Map<string, string>();
  /** Each write is compared with the revision it replaces: one of ours that is applied late, or twice, changes nothing. */
  private readonly revisions = new Map<string, Revision>();
  private isChanged = false;
  private isSaving = false;
  private lastSavedAt: MonotonicTime | null = null;

  constructor(
    private readonly ctx: LeaderContext,
    private readonly parts: FleetRecordWriterParts,
  ) {}

  /** Takes over an earlier leader's records: those that this one doesn't fill again must not bring back machines that are gone. */
  adopt(records: readonly KeyValue[]): void {
    for (const { key, revision } of records) this.revisions.set(key, revision);
    const fleetRecords = records.filter(({ key }) => key.startsWith(keys.fleet));
    this.storedRecordCount = Math.max(this.storedRecordCount, fleetRecords.length);
  }

  /** The fleet has changed: it is worth a save. */
  markChanged(): void {
    this.isChanged = true;
  }

  /** Begins a save if something has changed and a save is due. Never throws; a save that fails is repeated. */
  saveIfDue(now: MonotonicTime): void {
    if (this.parts.fleet.takeDirty()) this.isChanged = true;
    if (this.isChanged && this.isDue(now)) void this.save();
  }

  private isDue(now: MonotonicTime): boolean {
    if (this.isSaving) return false;
    const elapsed = this.lastSavedAt === null ? Infinity : since(now, this.lastSavedAt);
    if (elapsed < MIN_SAVE_INTERVAL_MS) return false;
    // An outdated record costs a successor seconds: it looks for machines that are gone.
    if (elapsed >= MAX_SAVE_INTERVAL_MS) return true;
    const { writeBudget } = this.parts;
    return writeBudget.available() > writeBudget.burst * RESERVED_FOR_STARTS;
  }

  private async save(): Promise<void> {
    this.isChanged = false;
    this.isSaving = true;
    this.lastSavedAt = this.ctx.clock.now();
    try {
      await this.writeChanges();
    } catch (error) {
      this.ctx.storeLimits.recordWriteFailure(error);
      this.ctx.log.info({ error: errorMessage(error) }, 'fleet record write failed');
      this.isChanged = true;
    } finally {
      this.isSaving = false;
    }
  }

  private async writeChanges(): Promise<void> {
    const { writeBudget, writeCounts } = this.parts;
    for (const batch of this.batchesOf(this.changedRecords())) {
      writeBudget.forceTake(batch.length);
      writeCounts.fleet += batch.length;
      const result = await this.ctx.store.txn(
        [
          { key: keys.epoch, revision: this.ctx.epochRevision },
          ...batch.map(({ key }) => ({ key, revision: this.revisions.get(key) ?? NO_REVISION })),
        ],
        batch.map(({ key, value }): WriteOperation => ({ set: key, value })),
      );
      if (!result.ok) {
        await this.resolveConflict(result.failed);
        return;
      }
      for (const { key, text } of batch) {
        this.writtenTexts.set(key, text);
        this.revisions.set(key, result.revision);
      }
    }
  }

  private async resolveConflict(failedKeys: readonly string[]): Promise<void> {
    if (stepDownIfDeposed(this.ctx, failedKeys, 'a fleet record write found a newer epoch')) return;
    // A write of ours that brought no answer was carried out after all.
    for (const key of failedKeys) {
      this.revisions.set(key, await fetchRevision(this.ctx.store, key));
      this.writtenTexts.delete(key);
    }
    throw new Error('a record had another revision');
  }

  /** Splits the records into what fits one transaction each. */
  private batchesOf(records: readonly ChangedRecord[]): ChangedRecord[][] {
    const batches: ChangedRecord[][] = [];
    let bytes = Infinity;
    for (const record of records) {
      const last = batches[batches.length - 1];
      const fits = last && last.length < this.ctx.storeLimits.txnOps && bytes + record.bytes <= MAX_TXN_BYTES;
      if (fits) {
        last.push(record);
        bytes += record.bytes;
      } else {
        batches.push([record]);
        bytes = record.bytes;
      }
    }
    return batches;
  }

  private changedRecords(): ChangedRecord[] {
    const values = new Map<string, unknown>();
    const chunks = this.chunks();
    this.storedRecordCount = Math.max(this.storedRecordCount, chunks.length);
    // From the last record on: where machines move to smaller records, they stand in their new place before
    // their old one is written again, and a save that is cut short loses none.
    for (let index = this.storedRecordCount - 1; index >= 0; index--)
      values.set(keys.fleetChunk(index), encodeFleetChunk(chunks[index] ?? []));
    for (const [key, record] of this.parts.fleet.forecastRecords()) values.set(keys.forecastOf(key), record);
    const changed: ChangedRecord[] = [];
    for (const [key, value] of values) {
      const text = JSON.stringify(value);
      if (this.writtenTexts.get(key) !== text)
        changed.push({ key, value, text, bytes: Buffer.byteLength(text) });
    }
    return changed;
  }

  /** Returns the machines of each record. */
  private chunks(): StoredMachine[][] {
    const { workers } = this.ctx;
    this.removeGone();
    this.shrinkOversizedRecords();
    // A machine of which only the id is known is recorded once its facts have been learned.
    for (const worker of workers.values())
      if (worker.presumedFacts && !this.recordIndexOf.has(worker.id)) this.assign(worker);
    const chunks: StoredMachine[][] = Array.from({ length: Math.max(1, this.recordSizes.length) }, () => []);
    for (const worker of workers.values()) {
      if (worker.presumedFacts)
        chunks[this.recordIndexOf.get(worker.id) ?? 0]?.push(
          this.encode(worker, worker.presumedFacts.machine),
        );
    }
    return chunks;
  }

  private encode(worker: Worker, machine: Machine): StoredMachine {
    return encodeMachine({
      machine,
      address: worker.address,
      rentedAt: this.rentedAtOf.get(machine.id) ?? 0,
      isUp: worker.isUp,
      isConfirmed: worker.confirmedFacts !== null,
    });
  }

  private removeGone(): void {
    for (const [id, index] of this.recordIndexOf) {
      if (this.ctx.workers.has(id)) continue;
      this.recordIndexOf.delete(id);
      this.rentedAtOf.delete(id);
      this.recordSizes[index] = (this.recordSizes[index] ?? 1) - 1;
    }
  }

  /** Removes the excess from records that hold more machines than they may by now; they move to others. */
  private shrinkOversizedRecords(): void {
    const maxSize = this.maxRecordSize();
    if (this.recordSizes.every((size) => size <= maxSize)) return;
    for (const [id, index] of this.recordIndexOf) {
      const size = this.recordSizes[index] ?? 0;
      if (size <= maxSize) continue;
      this.recordIndexOf.delete(id);
      this.recordSizes[index] = size - 1;
    }
  }

  private assign(worker: Worker): void {
    const maxSize = this.maxRecordSize();
    let index = this.recordSizes.findIndex((size) => size < maxSize);
    if (index < 0) index = this.recordSizes.push(0) - 1;
    this.recordSizes[index] = (this.recordSizes[index] ?? 0) + 1;
    this.recordIndexOf.set(worker.id, index);
    const { clock } = this.ctx;
    this.rentedAtOf.set(worker.id, Math.round(clock.wall() - (clock.now() - worker.rentedAt)));
  }

  private maxRecordSize(): number {
    return this.ctx.storeLimits.machinesPerRecord(MAX_MACHINES_PER_RECORD);
  }
}
