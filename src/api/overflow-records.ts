/** Writes the parts of a submission that don't fit into the job's own record, before the job is accepted. */
import { isDeepStrictEqual } from 'node:util';
import type { ControllerContext } from '../core/context.js';
import { NO_REVISION, type Revision } from '../model/ids.js';
import type { Compare, SetOperation } from '../wire/key-value-store.js';

/** Returns the key without the record number at its end. */
function prefixOf(key: string): string {
  return key.slice(0, key.lastIndexOf('/') + 1);
}

/**
 * The overflow records of one job acceptance. Another controller may process the same submission concurrently; with
 * other store limits it splits the same text at other places. The first record under each key prefix therefore serves
 * as a fence: every write of a further record, and the acceptance itself, compares the revision at which this
 * controller wrote the first record or found it with equal content. A second controller that finds a different first
 * record rewrites it, so that all later writes of the first controller fail their comparison, however late they reach
 * the store.
 */
export class OverflowRecords {
  private readonly fences = new Map<string, Compare>();
  private writtenCount = 0;

  constructor(
    private readonly ctx: ControllerContext,
    private readonly records: readonly SetOperation[],
    /** A comparison that succeeds as long as the job has not been accepted. */
    private readonly jobIsAbsent: Compare,
  ) {}

  /** The number of records that are still to be written. */
  get unwrittenCount(): number {
    return this.records.length - this.writtenCount;
  }

  /** The comparisons that the acceptance transaction must include once all records are written. */
  get compares(): Compare[] {
    return [...this.fences.values()];
  }

  /**
   * Writes the records that are still missing. Returns false if the job has been accepted or another controller is
   * writing the records; the next call then starts over. Throws the errors of the store client; the next call then
   * continues after the last record that was written.
   */
  async write(): Promise<boolean> {
    for (const record of this.records.slice(this.writtenCount)) {
      if (!(await this.writeRecord(record))) {
        this.restart();
        return false;
      }
      this.writtenCount++;
    }
    return true;
  }

  /** Resets the progress, so that all records are written again: another controller may have overwritten them. */
  restart(): void {
    this.fences.clear();
    this.writtenCount = 0;
  }

  private async writeRecord(record: SetOperation): Promise<boolean> {
    const fence = this.fences.get(prefixOf(record.set));
    if (!fence) return this.writeFenceRecord(record);
    return (await this.ctx.store.txn([this.jobIsAbsent, fence], [record])).ok;
  }

  private async writeFenceRecord(record: SetOperation): Promise<boolean> {
    const { store } = this.ctx;
    const key = record.set;
    const created = await store.txn([this.jobIsAbsent, { key, revision: NO_REVISION }], [record]);
    if (created.ok) return this.setFence(key, created.revision);
    const existing = await store.get(key);
    if (!existing) return false;
    // An equal first record was split under the same limits: both controllers write identical records and share the
    // fence.
    if (isDeepStrictEqual(existing.value, record.value)) return this.setFence(key, existing.revision);
    const replaced = await store.txn([this.jobIsAbsent, { key, revision: existing.revision }], [record]);
    return replaced.ok && this.setFence(key, replaced.revision);
  }

  private setFence(key: string, revision: Revision): true {
    this.fences.set(prefixOf(key), { key, revision });
    return true;
  }
}
