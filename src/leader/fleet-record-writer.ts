import type { FleetManager } from '../fleet/fleet-manager.js';
import { type MachineId, NO_REVISION, type Revision } from '../model/ids.js';
import type { Machine } from '../model/machine.js';
import { type MonotonicTime, since } from '../model/time.js';
import type { TokenBucket } from '../net/token-bucket.js';
import { keys } from '../store/keys.js';
import type { WriteCounts } from './write-counts.js';
import type { KeyValue, WriteOperation } from '../wire/key-value-store.js';
import type { Worker } from '../workers/state/worker.js';
import type { LeaderContext } from '../core/context.js';

/**
 * One machine in a fleet record, by position. `confirmed` was added with issue 30: earlier versions also recorded what
 * they had guessed, and leave the field out.
 */
export type StoredMachine = [
  id: string,
  type: string,
  zone: string,
  spot: 0 | 1,
  address: string,
  rentedAt: number,
  up: 0 | 1,
  confirmed?: 1,
];

interface Changed {
  readonly key: string;
  readonly value: unknown;
  readonly text: string;
  readonly bytes: number;
}

const PER_RECORD = 120;
/** All that one transaction may carry is 64 KiB (PROTOCOL). */
const MAX_BYTES = 48 * 1024;
/** Changes of this long share one writing: what a record lacks, reports and the list tell. */
const EVERY_MS = 2000;
/** Under load starts go first, but not for longer than this. */
const AT_LEAST_EVERY_MS = 15_000;
/** The share of the budget's burst that is left to starts. */
const LEFT_FOR_STARTS = 0.4;

/**
 * The rented machines and the forecast's weights, in the state service. A machine keeps its place in
 * the records, and only records that have changed are written: at size, each rental would otherwise
 * rewrite the whole fleet and take the writes that starts need.
 */
export class FleetRecordWriter {
  private readonly chunkOf = new Map<MachineId, number>();
  private readonly rentedAt = new Map<MachineId, number>();
  private readonly sizes: number[] = [];
  /** Records in the state service, ours and those of earlier leaders. */
  private stored = 0;
  /** What each key was last written with. */
  private readonly written = new Map<string, string>();
  /** Each write replaces what we know: one of our own that is applied late, or once more, changes nothing. */
  private readonly revisions = new Map<string, Revision>();
  private writing = false;
  private lastAt: MonotonicTime | null = null;

  constructor(
    private readonly ctx: LeaderContext,
    private readonly fleet: FleetManager,
    private readonly budget: TokenBucket,
    private readonly counts: WriteCounts,
  ) {}

  /** An earlier leader's records: what we do not fill again must not bring machines back that are gone. */
  found(records: readonly KeyValue[]): void {
    for (const { key, revision } of records) this.revisions.set(key, revision);
    this.stored = Math.max(this.stored, records.filter((r) => r.key.startsWith(keys.fleet)).length);
  }

  /** Whether a writing may begin now. */
  mayWrite(now: MonotonicTime): boolean {
    if (this.writing) return false;
    const waited = this.lastAt === null ? Infinity : since(now, this.lastAt);
    if (waited < EVERY_MS) return false;
    // A record left behind costs a successor seconds: it looks for machines that are gone.
    return waited >= AT_LEAST_EVERY_MS || this.budget.available() > this.budget.burst * LEFT_FOR_STARTS;
  }

  async save(): Promise<void> {
    this.writing = true;
    this.lastAt = this.ctx.clock.now();
    try {
      for (const part of this.parts(this.changes())) {
        this.budget.forceTake(part.length);
        this.counts.fleet += part.length;
        const result = await this.ctx.store.txn(
          [
            { key: keys.epoch, revision: this.ctx.epochRevision },
            ...part.map(({ key }) => ({ key, revision: this.revisions.get(key) ?? NO_REVISION })),
          ],
          part.map((c): WriteOperation => ({ set: c.key, value: c.value })),
        );
        if (!result.ok) {
          await this.resolve(result.failed);
          return;
        }
        for (const { key, text } of part) {
          this.written.set(key, text);
          this.revisions.set(key, result.revision);
        }
      }
    } finally {
      this.writing = false;
    }
  }

  private async resolve(failed: readonly string[]): Promise<void> {
    if (failed.includes(keys.epoch)) {
      this.ctx.stepDown('the fleet record found a newer epoch');
      return;
    }
    // A write of ours that brought no answer was carried out after all.
    for (const key of failed) {
      this.revisions.set(key, (await this.ctx.store.get(key))?.revision ?? NO_REVISION);
      this.written.delete(key);
    }
    throw new Error('a record had another revision');
  }

  /** What fits one transaction each. */
  private parts(changed: readonly Changed[]): Changed[][] {
    const parts: Changed[][] = [];
    let bytes = Infinity;
    for (const c of changed) {
      const last = parts[parts.length - 1];
      if (last && last.length < this.ctx.storeLimits.txnOps && bytes + c.bytes <= MAX_BYTES) {
        last.push(c);
        bytes += c.bytes;
      } else {
        parts.push([c]);
        bytes = c.bytes;
      }
    }
    return parts;
  }

  private changes(): Changed[] {
    const values = new Map<string, unknown>();
    const chunks = this.chunks();
    this.stored = Math.max(this.stored, chunks.length);
    // From the last record on: where machines move to smaller records, they stand in their new place before
    // their old one is written again, and a writing that is cut short loses none.
    for (let n = this.stored - 1; n >= 0; n--) values.set(keys.fleetChunk(n), { m: chunks[n] ?? [] });
    for (const [key, record] of this.fleet.forecastRecords()) values.set(keys.forecastOf(key), record);
    const changed: Changed[] = [];
    for (const [key, value] of values) {
      const text = JSON.stringify(value);
      if (this.written.get(key) !== text) changed.push({ key, value, text, bytes: Buffer.byteLength(text) });
    }
    return changed;
  }

  private chunks(): StoredMachine[][] {
    const { workers } = this.ctx;
    for (const [id, n] of this.chunkOf) {
      if (workers.has(id)) continue;
      this.chunkOf.delete(id);
      this.rentedAt.delete(id);
      this.sizes[n] = (this.sizes[n] ?? 1) - 1;
    }
    this.thinOut();
    // A machine of which only the name is known is recorded once somebody has told what it is.
    for (const worker of workers.values())
      if (worker.presumedFacts && !this.chunkOf.has(worker.id)) this.assign(worker);
    const chunks: StoredMachine[][] = Array.from({ length: Math.max(1, this.sizes.length) }, () => []);
    for (const worker of workers.values()) {
      if (worker.presumedFacts)
        chunks[this.chunkOf.get(worker.id) ?? 0]?.push(this.entryOf(worker, worker.presumedFacts.machine));
    }
    return chunks;
  }

  private entryOf(worker: Worker, { id, type, zone, spot }: Machine): StoredMachine {
    const rentedAt = this.rentedAt.get(id) ?? 0;
    const entry: StoredMachine = [
      id,
      type,
      zone,
      spot ? 1 : 0,
      worker.address,
      rentedAt,
      worker.isUp ? 1 : 0,
    ];
    if (worker.confirmedFacts) entry.push(1);
    return entry;
  }

  /** Records that hold more machines than they may by now give the rest up to others. */
  private thinOut(): void {
    const most = this.ctx.storeLimits.machinesPerRecord(PER_RECORD);
    if (this.sizes.every((size) => size <= most)) return;
    for (const [id, n] of this.chunkOf) {
      const size = this.sizes[n] ?? 0;
      if (size <= most) continue;
      this.chunkOf.delete(id);
      this.sizes[n] = size - 1;
    }
  }

  private assign(worker: Worker): void {
    const most = this.ctx.storeLimits.machinesPerRecord(PER_RECORD);
    let n = this.sizes.findIndex((size) => size < most);
    if (n < 0) n = this.sizes.push(0) - 1;
    this.sizes[n] = (this.sizes[n] ?? 0) + 1;
    this.chunkOf.set(worker.id, n);
    const { clock } = this.ctx;
    this.rentedAt.set(worker.id, Math.round(clock.wall() - (clock.now() - worker.rentedAt)));
  }
}
