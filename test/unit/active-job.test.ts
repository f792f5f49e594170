import { describe, expect, it } from 'vitest';
import type { MachineId, Revision, TaskIndex, ZoneId } from '../../src/model/ids.js';
import type { MonotonicTime, WallTime } from '../../src/model/time.js';
import { JobStore } from '../../src/scheduler/job-store.js';
import { ActiveJob } from '../../src/scheduler/active-job.js';
import { DEFAULT_CHUNK_SIZE, keys } from '../../src/store/keys.js';
import { submission } from '../simulation/submission.js';

const SMALL_CHUNK_SIZE = 56;
const ZONE = 'north' as ZoneId;
const FIRST_TASK = 0 as TaskIndex;

const jobOf = (chunkSize: number): ActiveJob =>
  new ActiveJob(submission({}), 1 as Revision, 0 as WallTime, chunkSize);

const LARGE_RECORD = { p: [[0, 1, 'host-1'], [60, 1, 'host-1'], [61, 2, 'host-2']] }; // prettier-ignore
const SMALL_RECORD = { d: [[0, 0]], u: [[1, 1]] };

describe('progress in chunks of two sizes', () => {
  it.each([
    ['the large record first', true],
    ['the small record first', false],
  ])(
    'merges both records into the smaller size, with the most advanced state of each task: %s',
    (_name, addsLargeFirst) => {
      const job = jobOf(SMALL_CHUNK_SIZE);
      const addLarge = (): void => job.addStoredProgress(0, DEFAULT_CHUNK_SIZE, LARGE_RECORD, 9 as Revision);
      const addSmall = (): void => job.addStoredProgress(0, SMALL_CHUNK_SIZE, SMALL_RECORD, 7 as Revision);
      if (addsLargeFirst) [addLarge, addSmall].forEach((add) => add());
      else [addSmall, addLarge].forEach((add) => add());
      job.applyStoredProgress();
      expect(job.doneCount).toBe(1);
      expect(job.assignedCount).toBe(2);
      expect([...job.assignedTasks()].map((task) => task.index)).toEqual([60, 61]);
      expect(job.supersededKeys).toEqual(['open/j-000001/0000']);
      // An attempt number that was used is never assigned again.
      const next = job.beginAttempt('host-3' as MachineId, ZONE, 0 as MonotonicTime);
      expect([next.index, next.attemptNumber]).toEqual([1, 2]);
    },
  );

  // Guards against a leader that returns to larger chunks: their records would be newer, but contradicted by the
  // smaller records that a later leader reads beside them.
  it('never returns to larger chunks', () => {
    const job = jobOf(DEFAULT_CHUNK_SIZE);
    job.addStoredProgress(0, SMALL_CHUNK_SIZE, SMALL_RECORD, 7 as Revision);
    job.applyStoredProgress();
    expect(job.chunkOf(FIRST_TASK).key).toBe(keys.openChunk(job.spec.id, 0, SMALL_CHUNK_SIZE));
  });

  it('splits into smaller chunks: progress that was not durable is written again, and outcomes wait for these writes', () => {
    const store = new JobStore();
    const job = jobOf(DEFAULT_CHUNK_SIZE);
    store.add(job);
    const tasks = Array.from({ length: 120 }, () =>
      job.beginAttempt('host-1' as MachineId, ZONE, 0 as MonotonicTime),
    );
    const large = job.chunkOf(FIRST_TASK);
    const { version } = large;
    job.resizeChunks(SMALL_CHUNK_SIZE, 1 as MonotonicTime);
    expect(store.dirtyChunks.size).toBe(3);
    expect([...store.dirtyChunks].map((chunk) => chunk.committing.size)).toEqual([56, 56, 8]);
    expect(large.isDurable(version)).toBe(false);
    for (const chunk of store.dirtyChunks) chunk.durableVersion = chunk.version;
    expect(large.isDurable(version)).toBe(true);
    // A write of the large chunk that was in flight during the split still makes the starts that it contains durable.
    job.confirmPlacement(tasks[0] as (typeof tasks)[0]);
    expect(job.chunkOf(FIRST_TASK).committing.size).toBe(55);
  });
});
