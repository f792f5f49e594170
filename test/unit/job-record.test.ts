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
const ACCEPTED_AT = 1_790_000_000_000 as WallTime;
/** Two bytes a letter: what counts is bytes, not letters. */
const LONG = 'é'.repeat(200);
const LONG_NAMES = { jobclass: LONG, bundle: LONG, hall: LONG, flavours: ['small', LONG, LONG] };
const jobIds = (count: number): JobId[] =>
  Array.from({ length: count }, (_, number) => `j-${String(number).padStart(20, '0')}` as JobId);

const recordOf = (spec: JobSpec): JobRecord => ({ spec, state: 'accepted', acceptedAt: ACCEPTED_AT });
const longestValue = (records: readonly WriteOperation[]): number =>
  Math.max(0, ...records.map((write) => ('set' in write ? encodedLength(write.value) : 0)));
const valuesUnder = <T>(records: readonly WriteOperation[], prefix: string): T[] =>
  records.flatMap((write) => ('set' in write && write.set.startsWith(prefix) ? [write.value as T] : []));

describe('encodeJob', () => {
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

describe('splitJob', () => {
  it('leaves a record whole that just fits, and splits it one byte above', () => {
    const spec = submission({ awaits: jobIds(3) });
    const bytes = encodedLength(encodeJob(recordOf(spec)));
    expect(splitJob(spec, spec.dependencies, ACCEPTED_AT, bytes)).toEqual({ spec, records: [] });
    const split = splitJob(spec, spec.dependencies, ACCEPTED_AT, bytes - 1);
    expect(split.spec.dependencyRecordCount).toBe(1);
    expect(valuesUnder(split.records, 'deps/').flat()).toEqual(jobIds(3));
  });

  it('keeps thousands of dependencies, and names of two bytes a letter, to the size of a value', () => {
    const spec = submission({ ...LONG_NAMES, awaits: jobIds(2000) });
    const split = splitJob(spec, spec.dependencies, ACCEPTED_AT, 1024);
    expect(encodedLength(encodeJob(recordOf(split.spec)))).toBeLessThanOrEqual(1024);
    expect(longestValue(split.records)).toBeLessThanOrEqual(1024);
    expect(valuesUnder(split.records, 'deps/').flat()).toEqual(jobIds(2000));
    const stored: unknown = JSON.parse(JSON.stringify(encodeJob(recordOf(split.spec))));
    const restored = withDescription(decodeJob(ID, stored), valuesUnder<string>(split.records, 'desc/'));
    expect(restored.spec).toEqual(split.spec);
    expect(restored.spec).toMatchObject({
      jobClass: LONG,
      image: LONG,
      zone: LONG,
      allowedTypes: ['small', LONG, LONG],
    });
  });

  it('gives the same records to two controllers of which one has seen a dependency end', () => {
    const spec = submission({ awaits: jobIds(200) });
    const specWithoutEnded = { ...spec, dependencies: spec.dependencies.slice(1) };
    const one = splitJob(spec, spec.dependencies, ACCEPTED_AT, 1024);
    const other = splitJob(specWithoutEnded, spec.dependencies, ACCEPTED_AT, 1024);
    // Mixed, they would otherwise leave gaps: a dependency in neither list would not be waited for.
    expect(other).toEqual(one);
  });
});

describe('encodeEndedJob', () => {
  it('fits a record of any size: names and dependencies are left out where they are too long', () => {
    const record: JobRecord = {
      ...recordOf(submission({ ...LONG_NAMES, awaits: jobIds(60) })),
      state: 'done',
    };
    const stored = encodeEndedJob(record, 1024);
    expect(encodedLength(stored)).toBeLessThanOrEqual(1024);
    expect(decodeJob(ID, stored)).toMatchObject({ state: 'done', spec: { taskCount: 200, kind: 'array' } });
    // Earlier versions read the first 18 positions only.
    expect(stored.j).toHaveLength(18);
    expect(decodeJob(ID, encodeEndedJob(record, 16_384)).spec.jobClass).toBe(LONG);
  });

  it('refers to no overflow records of dependencies: they are removed with the job', () => {
    const spec: JobSpec = { ...submission({}), dependencyRecordCount: 2 };
    expect(encodeEndedJob({ ...recordOf(spec), state: 'done' }, 16_384).j).toHaveLength(18);
  });
});
