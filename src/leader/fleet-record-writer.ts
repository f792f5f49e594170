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

/** A record whose value differs from the last written value. */
interface ChangedRecord {
  readonly key: string;
  readonly value: unknown;
  readonly text: string;
  readonly bytes: number;
}

/** The leader components that `FleetRecordWriter` uses. */
interface FleetRecordWriterParts {
  readonly fleet: FleetManager;
  /** Limits the store writes per second of this leader. */
  readonly writeBudget: TokenBucket;
  readonly writeCounts: WriteCounts;
}

const MAX_MACHINES_PER_RECORD = 120;
/**
 * Maximum size of the records in one transaction, unless a single record is larger; a whole transaction may carry 64
 * KiB (PROTOCOL).
 */
const MAX_TXN_BYTES = 48 * 1024;
/**
 * Minimum time between saves, so that several changes share one save. Heartbeats and the cloud's machine list supply
 * what a record does not contain yet.
 */
const MIN_SAVE_INTERVAL_MS = 2000;
/** Maximum time since the last save for which a save is delayed in favor of task starts. */
const MAX_SAVE_INTERVAL_MS = 15_000;
/** Share of the write budget's burst that is reserved for task starts. */
const START_RESERVE_RATIO = 0.4;

/**
 * Saves the rented machines, the forecast weights and the slack factors in the store. A machine stays in its assigned
 * record, and only changed records are written. Otherwise each rental in a large fleet would rewrite all records and
 * use the write budget that task starts need.
 */
export class FleetRecordWriter {
  private readonly recordIndexByMachine = new Map<MachineId, number>();
  /** Rental time of each machine, in wall-clock milliseconds since 1970. */
  private readonly rentedAtByMachine = new Map<MachineId, number>();
  /** Number of machines in each record. */
  private readonly recordSizes: number[] = [];
  /** Number of fleet records in the store, including the records of earlier leaders. */
  private storedRecordCount = 0;
  /** The last written JSON text of each key. */
  private readonly lastWrittenTexts = new Map<string, string>();
  /** The expected revision of each key in the next write, so that a delayed or duplicate write changes nothing. */
  private readonly revisions = new Map<string, Revision>();
  private isChanged = false;
  private isSaving = false;
  private lastSavedAt: MonotonicTime | null = null;

  constructor(
    private readonly ctx: LeaderContext,
    private readonly parts: FleetRecordWriterParts,
  ) {}

  /**
   * Adopts the records of an earlier leader. Records that this leader no longer fills are overwritten too, so that they
   * do not restore machines that no longer exist.
   */
  adoptRecords(records: readonly KeyValue[]): void {
    for (const { key, revision } of records) this.revisions.set(key, revision);
    const fleetRecords = records.filter(({ key }) => key.startsWith(keys.fleet));
    this.storedRecordCount = Math.max(this.storedRecordCount, fleetRecords.length);
  }

  /** Marks the fleet as changed, so that it is saved when the next save is due. */
  markChanged(): void {
    this.isChanged = true;
  }

  /** Starts a save if the fleet has changed and a save is due. Never throws; a failed save is retried. */
  saveIfDue(now: MonotonicTime): void {
    if (this.parts.fleet.takeDirtyFlag()) this.isChanged = true;
    if (this.isChanged && this.isDue(now)) void this.save();
  }

  private isDue(now: MonotonicTime): boolean {
    if (this.isSaving) return false;
    const elapsedMs = this.lastSavedAt === null ? Infinity : since(now, this.lastSavedAt);
    if (elapsedMs < MIN_SAVE_INTERVAL_MS) return false;
    // An outdated record delays a successor by seconds, because it tries to reach machines that no longer exist.
    if (elapsedMs >= MAX_SAVE_INTERVAL_MS) return true;
    const { writeBudget } = this.parts;
    return writeBudget.available() > writeBudget.burst * START_RESERVE_RATIO;
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
    for (const batch of this.splitIntoBatches(this.changedRecords())) {
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
        this.lastWrittenTexts.set(key, text);
        this.revisions.set(key, result.revision);
      }
    }
  }

  private async resolveConflict(failedKeys: readonly string[]): Promise<void> {
    if (stepDownIfDeposed(this.ctx, failedKeys, 'a fleet record write found a newer epoch')) return;
    // An earlier write of this leader that received no answer was applied.
    for (const key of failedKeys) {
      this.revisions.set(key, await fetchRevision(this.ctx.store, key));
      this.lastWrittenTexts.delete(key);
    }
    throw new Error('fleet record write conflict: a record in the store does not have the expected revision');
  }

  /** Splits the records into batches that each fit into one transaction. */
  private splitIntoBatches(records: readonly ChangedRecord[]): ChangedRecord[][] {
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
    const chunks = this.groupMachinesByRecord();
    this.storedRecordCount = Math.max(this.storedRecordCount, chunks.length);
    // Records are written from the last index to the first. When machines move to smaller records, the new record is
    // written before the old record is overwritten, so that an interrupted save loses no machine.
    for (let index = this.storedRecordCount - 1; index >= 0; index--)
      values.set(keys.fleetChunk(index), encodeFleetChunk(chunks[index] ?? []));
    for (const [key, record] of this.parts.fleet.forecastRecords()) values.set(keys.forecastOf(key), record);
    const changed: ChangedRecord[] = [];
    for (const [key, value] of values) {
      const text = JSON.stringify(value);
      if (this.lastWrittenTexts.get(key) !== text)
        changed.push({ key, value, text, bytes: Buffer.byteLength(text) });
    }
    return changed;
  }

  /** Returns the stored form of the machines in each record, by record index. */
  private groupMachinesByRecord(): StoredMachine[][] {
    const { workers } = this.ctx;
    this.removeUnregisteredMachines();
    this.shrinkOversizedRecords();
    // A machine with a known ID but no known facts is recorded after its facts have been learned.
    for (const worker of workers.values())
      if (worker.presumedFacts && !this.recordIndexByMachine.has(worker.id)) this.assignToRecord(worker);
    const chunks: StoredMachine[][] = Array.from({ length: Math.max(1, this.recordSizes.length) }, () => []);
    for (const worker of workers.values()) {
      if (worker.presumedFacts)
        chunks[this.recordIndexByMachine.get(worker.id) ?? 0]?.push(
          this.encode(worker, worker.presumedFacts.machine),
        );
    }
    return chunks;
  }

  private encode(worker: Worker, machine: Machine): StoredMachine {
    return encodeMachine({
      machine,
      address: worker.address,
      rentedAt: this.rentedAtByMachine.get(machine.id) ?? 0,
      isUp: worker.isUp,
      isConfirmed: worker.confirmedFacts !== null,
    });
  }

  private removeUnregisteredMachines(): void {
    for (const [id, index] of this.recordIndexByMachine) {
      if (this.ctx.workers.has(id)) continue;
      this.recordIndexByMachine.delete(id);
      this.rentedAtByMachine.delete(id);
      this.recordSizes[index] = (this.recordSizes[index] ?? 1) - 1;
    }
  }

  /** Removes excess machines from records that exceed the current maximum size; they are assigned to other records. */
  private shrinkOversizedRecords(): void {
    const maxSize = this.maxRecordSize();
    if (this.recordSizes.every((size) => size <= maxSize)) return;
    for (const [id, index] of this.recordIndexByMachine) {
      const size = this.recordSizes[index] ?? 0;
      if (size <= maxSize) continue;
      this.recordIndexByMachine.delete(id);
      this.recordSizes[index] = size - 1;
    }
  }

  private assignToRecord(worker: Worker): void {
    const maxSize = this.maxRecordSize();
    let index = this.recordSizes.findIndex((size) => size < maxSize);
    if (index < 0) index = this.recordSizes.push(0) - 1;
    this.recordSizes[index] = (this.recordSizes[index] ?? 0) + 1;
    this.recordIndexByMachine.set(worker.id, index);
    const { clock } = this.ctx;
    this.rentedAtByMachine.set(worker.id, Math.round(clock.wall() - (clock.now() - worker.rentedAt)));
  }

  private maxRecordSize(): number {
    return this.ctx.storeLimits.machinesPerRecord(MAX_MACHINES_PER_RECORD);
  }
}
