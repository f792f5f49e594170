import { describe, expect, it } from 'vitest';
import type { MachineId, Revision, TaskIndex, ZoneId } from '../../src/model/ids.js';
import type { MonotonicTime, WallTime } from '../../src/model/time.js';
import { JobStore } from '../../src/scheduler/job-store.js';
import { ActiveJob } from '../../src/scheduler/active-job.js';
import { DEFAULT_CHUNK_SIZE, keys } from '../../src/store/keys.js';
import { submission } from '../simulation/submission.js';

const SMALL_SIZE = 56;
const ZONE = 'north' as ZoneId;
const FIRST_TASK = 0 as TaskIndex;

const jobOf = (chunkSize: number): ActiveJob =>
  new ActiveJob(submission({}), 1 as Revision, 0 as WallTime, chunkSize);

const LARGE_RECORD = { p: [[0, 1, 'host-1'], [60, 1, 'host-1'], [61, 2, 'host-2']] }; // prettier-ignore
const SMALL_RECORD = { d: [[0, 0]], u: [[1, 1]] };

describe('progress in chunks of two sizes', () => {
  it.each([
    ['the large one first', true],
    ['the small one first', false],
  ])('is that of the smaller where both hold a task: %s', (_name, isLargeFirst) => {
    const job = jobOf(SMALL_SIZE);
    const addLarge = (): void => job.addStoredProgress(0, DEFAULT_CHUNK_SIZE, LARGE_RECORD, 9 as Revision);
    const addSmall = (): void => job.addStoredProgress(0, SMALL_SIZE, SMALL_RECORD, 7 as Revision);
    if (isLargeFirst) [addLarge, addSmall].forEach((add) => add());
    else [addSmall, addLarge].forEach((add) => add());
    job.applyStoredProgress();
    expect(job.doneCount).toBe(1);
    expect(job.assignedCount).toBe(2);
    expect([...job.assignedTasks()].map((task) => task.index)).toEqual([60, 61]);
    expect(job.supersededKeys).toEqual(['open/j-000001/0000']);
    // The number of a used attempt is not used again.
    const next = job.beginAttempt('host-3' as MachineId, ZONE, 0 as MonotonicTime);
    expect([next.index, next.attemptNumber]).toEqual([1, 2]);
  });

  // Larger records would be newer, and contradicted by the smaller ones that a later leader reads beside them.
  it('never goes back to larger ones', () => {
    const job = jobOf(DEFAULT_CHUNK_SIZE);
    job.addStoredProgress(0, SMALL_SIZE, SMALL_RECORD, 7 as Revision);
    job.applyStoredProgress();
    expect(job.chunkOf(FIRST_TASK).key).toBe(keys.openChunk(job.spec.id, 0, SMALL_SIZE));
  });

  it('goes on in smaller ones: what was not durable is written anew, and outcomes wait for it', () => {
    const store = new JobStore();
    const job = jobOf(DEFAULT_CHUNK_SIZE);
    store.add(job);
    const tasks = Array.from({ length: 120 }, () =>
      job.beginAttempt('host-1' as MachineId, ZONE, 0 as MonotonicTime),
    );
    const large = job.chunkOf(FIRST_TASK);
    const { version } = large;
    job.resizeChunks(SMALL_SIZE, 1 as MonotonicTime);
    expect(store.dirtyChunks.size).toBe(3);
    expect([...store.dirtyChunks].map((chunk) => chunk.committing.size)).toEqual([56, 56, 8]);
    expect(large.isDurable(version)).toBe(false);
    for (const chunk of store.dirtyChunks) chunk.durableVersion = chunk.version;
    expect(large.isDurable(version)).toBe(true);
    // A write of the old size that was under way at the split makes its starts durable all the same.
    job.confirmPlacement(tasks[0] as (typeof tasks)[0]);
    expect(job.chunkOf(FIRST_TASK).committing.size).toBe(55);
  });
});
