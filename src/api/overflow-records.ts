/** Writes what of a submission has no room in its job's record, before the job is accepted. */
import { isDeepStrictEqual } from 'node:util';
import type { ControllerContext } from '../core/context.js';
import { NO_REVISION, type Revision } from '../model/ids.js';
import type { Compare, SetOperation } from '../wire/key-value-store.js';

/** The key without the number of the record at its end. */
function prefixOf(key: string): string {
  return key.slice(0, key.lastIndexOf('/') + 1);
}

/**
 * The overflow records of one acceptance. Another controller may take in the same submission at the same time; with other
 * limits it cuts the same text at other places. So the first record under each prefix is a fence: whoever writes
 * further records, or accepts the job, compares with the revision at which it has written the first. Another controller
 * that begins writes the first one anew, and whatever the former one still sends fails, however late it arrives.
 */
export class OverflowRecords {
  private readonly fences = new Map<string, Compare>();
  private written = 0;

  constructor(
    private readonly ctx: ControllerContext,
    private readonly records: readonly SetOperation[],
    /** Holds as long as the job is not accepted. */
    private readonly isUnknown: Compare,
  ) {}

  /** How many are still to be written. */
  get missing(): number {
    return this.records.length - this.written;
  }

  /** What the acceptance compares with, once all are written. */
  get compares(): Compare[] {
    return [...this.fences.values()];
  }

  /**
   * Writes what is missing. Returns false if the job has been accepted or another controller writes the records:
   * the next call begins anew. May throw as the store's client does: the next call goes on.
   */
  async write(): Promise<boolean> {
    for (const record of this.records.slice(this.written)) {
      if (!(await this.writeOne(record))) {
        this.begin();
        return false;
      }
      this.written++;
    }
    return true;
  }

  /** Begins anew: another controller may have written records of the same names. */
  begin(): void {
    this.fences.clear();
    this.written = 0;
  }

  private async writeOne(record: SetOperation): Promise<boolean> {
    const fence = this.fences.get(prefixOf(record.set));
    if (!fence) return this.writeFirst(record);
    return (await this.ctx.store.txn([this.isUnknown, fence], [record])).ok;
  }

  private async writeFirst(record: SetOperation): Promise<boolean> {
    const { store } = this.ctx;
    const key = record.set;
    const created = await store.txn([this.isUnknown, { key, revision: NO_REVISION }], [record]);
    if (created.ok) return this.setFence(key, created.revision);
    const existing = await store.get(key);
    if (!existing) return false;
    // Cut in the same way: the same records, whoever writes them.
    if (isDeepStrictEqual(existing.value, record.value)) return this.setFence(key, existing.revision);
    const replaced = await store.txn([this.isUnknown, { key, revision: existing.revision }], [record]);
    return replaced.ok && this.setFence(key, replaced.revision);
  }

  private setFence(key: string, revision: Revision): true {
    this.fences.set(prefixOf(key), { key, revision });
    return true;
  }
}
