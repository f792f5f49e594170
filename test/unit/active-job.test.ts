import { describe, expect, it } from 'vitest';
import type { MachineId, JobId, Revision, TaskIndex } from '../../src/model/ids.js';
import type { MonotonicTime, WallTime } from '../../src/model/time.js';
import { JobStore } from '../../src/scheduler/job-store.js';
import { ActiveJob } from '../../src/scheduler/active-job.js';
import { decodeJob, encodeJob } from '../../src/store/job-record.js';
import { DEFAULT_CHUNK_SIZE, keys, parseOpenKey } from '../../src/store/keys.js';
import { submission } from '../simulation/submission.js';

const SMALL = 56;

const job = (size: number): ActiveJob => new ActiveJob(submission({}), 1 as Revision, 0 as WallTime, size);

const LARGE_RECORD = { p: [[0, 1, 'host-1'], [60, 1, 'host-1'], [61, 2, 'host-2']] }; // prettier-ignore
const SMALL_RECORD = { d: [[0, 0]], u: [[1, 1]] };

describe('progress in chunks of two sizes', () => {
  it.each([
    ['the large one first', true],
    ['the small one first', false],
  ])('is told by the smaller where both tell: %s', (_name, first) => {
    const read = job(SMALL);
    const large = (): void => read.addStoredProgress(0, DEFAULT_CHUNK_SIZE, LARGE_RECORD, 9 as Revision);
    const small = (): void => read.addStoredProgress(0, SMALL, SMALL_RECORD, 7 as Revision);
    if (first) [large, small].forEach((act) => act());
    else [small, large].forEach((act) => act());
    read.applyStoredProgress();
    expect(read.doneCount).toBe(1);
    expect(read.assignedCount).toBe(2);
    expect([...read.assignedTasks()].map((task) => task.index)).toEqual([60, 61]);
    expect(read.supersededKeys).toEqual(['open/j-000001/0000']);
    // What was tried once is not tried under that number again.
    const next = read.beginAttempt('host-3' as MachineId, 'north' as never, 0 as MonotonicTime);
    expect([next.index, next.attemptNumber]).toEqual([1, 2]);
  });

  // Larger records would be newer, and be told otherwise by the smaller ones that a later leader reads beside them.
  it('never goes back to larger ones', () => {
    const read = job(DEFAULT_CHUNK_SIZE);
    read.addStoredProgress(0, SMALL, SMALL_RECORD, 7 as Revision);
    read.applyStoredProgress();
    expect(read.chunkOf(0 as TaskIndex).key).toBe(keys.openChunk(read.spec.id, 0, SMALL));
  });

  it('goes on in smaller ones: what was not durable is written anew, and outcomes wait for it', () => {
    const book = new JobStore();
    const open = job(DEFAULT_CHUNK_SIZE);
    book.add(open);
    const tasks = Array.from({ length: 120 }, () =>
      open.beginAttempt('host-1' as MachineId, 'north' as never, 0 as MonotonicTime),
    );
    const large = open.chunkOf(0 as TaskIndex);
    const version = large.version;
    open.resizeChunks(SMALL, 1 as MonotonicTime);
    expect(book.dirtyChunks.size).toBe(3);
    expect([...book.dirtyChunks].map((chunk) => chunk.committing.size)).toEqual([56, 56, 8]);
    expect(large.isDurable(version)).toBe(false);
    for (const chunk of book.dirtyChunks) chunk.durableVersion = chunk.version;
    expect(large.isDurable(version)).toBe(true);
    // A write of the old size that was under way when it was split makes its starts durable all the same.
    open.confirmPlacement(tasks[0] as (typeof tasks)[0]);
    expect(open.chunkOf(0 as TaskIndex).committing.size).toBe(55);
  });

  it('has keys that tell the size, and none for the usual one', () => {
    const id = 'j-000001' as JobId;
    expect(keys.openChunk(id, 3, DEFAULT_CHUNK_SIZE)).toBe('open/j-000001/0003');
    expect(parseOpenKey(keys.openChunk(id, 3, SMALL))).toEqual({ job: id, chunk: 3, size: SMALL });
    expect(parseOpenKey('open/j-000001')).toEqual({ job: id, chunk: null, size: DEFAULT_CHUNK_SIZE });
  });
});

describe('a job’s record', () => {
  it('keeps the dependencies behind what earlier versions read', () => {
    const record = {
      spec: submission({ awaits: ['j-000007', 'j-000008', 'j-000007'] }),
      state: 'accepted' as const,
      acceptedAt: 5 as WallTime,
    };
    const stored = encodeJob(record);
    expect(stored.j).toHaveLength(19);
    expect(stored.j[18]).toEqual(['j-000007', 'j-000008']);
    expect(decodeJob(record.spec.id, JSON.parse(JSON.stringify(stored)))).toEqual(record);
    expect(encodeJob({ ...record, spec: submission({}) }).j).toHaveLength(18);
  });
});
