import { describe, expect, it } from 'vitest';
import type { JobId } from '../../src/model/ids.js';
import type { JobRecord, JobSpec } from '../../src/model/job.js';
import type { WallTime } from '../../src/model/time.js';
import {
  decodeJob,
  encodeEndedJob,
  encodeJob,
  splitJob,
  encodedLength,
  withDescription,
} from '../../src/store/job-record.js';
import type { WriteOperation } from '../../src/wire/key-value-store.js';
import { submission } from '../simulation/submission.js';

const ID = 'j-000001' as JobId;
const AT = 1_790_000_000_000 as WallTime;
/** Two bytes a letter: what counts is bytes, not letters. */
const LONG = 'é'.repeat(200);
const LONG_NAMES = { jobclass: LONG, bundle: LONG, hall: LONG, flavours: ['small', LONG, LONG] };
const ids = (count: number): JobId[] =>
  Array.from({ length: count }, (_, n) => `j-${String(n).padStart(20, '0')}` as JobId);

const recordOf = (spec: JobSpec): JobRecord => ({ spec, state: 'accepted', acceptedAt: AT });
const longest = (records: readonly WriteOperation[]): number =>
  Math.max(0, ...records.map((write) => ('set' in write ? encodedLength(write.value) : 0)));
const values = <T>(records: readonly WriteOperation[], prefix: string): T[] =>
  records.flatMap((write) => ('set' in write && write.set.startsWith(prefix) ? [write.value as T] : []));

describe('a job as it is accepted', () => {
  it('stays whole in a record that just fits, and is split one byte above', () => {
    const spec = submission({ awaits: ids(3) });
    const bytes = encodedLength(encodeJob(recordOf(spec)));
    expect(splitJob(spec, spec.dependencies, AT, bytes)).toEqual({ spec, records: [] });
    const split = splitJob(spec, spec.dependencies, AT, bytes - 1);
    expect(split.spec.dependencyRecordCount).toBe(1);
    expect(values(split.records, 'deps/').flat()).toEqual(ids(3));
  });

  it('keeps a list of thousands, and names of two bytes a letter, to the size that a value may have', () => {
    const spec = submission({ ...LONG_NAMES, awaits: ids(2000) });
    const split = splitJob(spec, spec.dependencies, AT, 1024);
    expect(encodedLength(encodeJob(recordOf(split.spec)))).toBeLessThanOrEqual(1024);
    expect(longest(split.records)).toBeLessThanOrEqual(1024);
    expect(values(split.records, 'deps/').flat()).toEqual(ids(2000));
    const stored: unknown = JSON.parse(JSON.stringify(encodeJob(recordOf(split.spec))));
    const read = withDescription(decodeJob(ID, stored), values<string>(split.records, 'desc/'));
    expect(read.spec).toEqual(split.spec);
    expect(read.spec).toMatchObject({
      jobClass: LONG,
      image: LONG,
      zone: LONG,
      allowedTypes: ['small', LONG, LONG],
    });
  });

  it('is written the same by two nodes of which one has seen a dependency end', () => {
    const spec = submission({ awaits: ids(200) });
    const seen = { ...spec, dependencies: spec.dependencies.slice(1) };
    const one = splitJob(spec, spec.dependencies, AT, 1024);
    const other = splitJob(seen, spec.dependencies, AT, 1024);
    // Mixed, they would otherwise leave gaps: a dependency in neither list would not be waited for.
    expect(other).toEqual(one);
  });
});

describe('a job that is over', () => {
  it('is told in a record of any size: names and dependencies are left out where they have no room', () => {
    const record: JobRecord = { ...recordOf(submission({ ...LONG_NAMES, awaits: ids(60) })), state: 'done' };
    const stored = encodeEndedJob(record, 1024);
    expect(encodedLength(stored)).toBeLessThanOrEqual(1024);
    expect(decodeJob(ID, stored)).toMatchObject({ state: 'done', spec: { taskCount: 200, kind: 'array' } });
    // The production version reads the first 18 places by position.
    expect(stored.j).toHaveLength(18);
    expect(decodeJob(ID, encodeEndedJob(record, 16_384)).spec.jobClass).toBe(LONG);
  });

  it('refers to no records of dependencies: they are removed with it', () => {
    const spec: JobSpec = { ...submission({}), dependencyRecordCount: 2 };
    expect(encodeEndedJob({ ...recordOf(spec), state: 'done' }, 16_384).j).toHaveLength(18);
  });
});
