import { describe, expect, it } from 'vitest';
import type { JobId } from '../../src/model/ids.js';
import type { JobRecord, JobSpec } from '../../src/model/job.js';
import type { WallTime } from '../../src/model/time.js';
import {
  decodeJob,
  encodeEndedJob,
  encodeJob,
  splitJob,
  encodedLengthBytes,
  withDescription,
} from '../../src/store/job-record.js';
import type { WriteOperation } from '../../src/wire/key-value-store.js';
import { submission } from '../simulation/submission.js';

const ID = 'j-000001' as JobId;
const ACCEPTED_AT = 1_790_000_000_000 as WallTime;
/** A name of 200 characters and 400 bytes: the limits of the store count bytes, not characters. */
const LONG_NAME = 'é'.repeat(200);
const LONG_NAMES = {
  jobclass: LONG_NAME,
  bundle: LONG_NAME,
  hall: LONG_NAME,
  flavours: ['small', LONG_NAME, LONG_NAME],
};
const jobIds = (count: number): JobId[] =>
  Array.from({ length: count }, (_, number) => `j-${String(number).padStart(20, '0')}` as JobId);

const recordOf = (spec: JobSpec): JobRecord => ({ spec, state: 'accepted', acceptedAt: ACCEPTED_AT });
const longestValueBytes = (records: readonly WriteOperation[]): number =>
  Math.max(0, ...records.map((write) => ('set' in write ? encodedLengthBytes(write.value) : 0)));
const valuesUnder = <T>(records: readonly WriteOperation[], prefix: string): T[] =>
  records.flatMap((write) => ('set' in write && write.set.startsWith(prefix) ? [write.value as T] : []));

describe('encodeJob', () => {
  it('stores the dependencies after the positions that earlier versions read', () => {
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
  it('does not split a record that exactly fits, and splits it if it is one byte too long', () => {
    const spec = submission({ awaits: jobIds(3) });
    const bytes = encodedLengthBytes(encodeJob(recordOf(spec)));
    expect(splitJob(spec, spec.dependencies, ACCEPTED_AT, bytes)).toEqual({ spec, records: [] });
    const split = splitJob(spec, spec.dependencies, ACCEPTED_AT, bytes - 1);
    expect(split.spec.dependencyRecordCount).toBe(1);
    expect(valuesUnder(split.records, 'deps/').flat()).toEqual(jobIds(3));
  });

  it('splits 2000 dependencies, and names with two bytes per character, into values of at most 1024 bytes', () => {
    const spec = submission({ ...LONG_NAMES, awaits: jobIds(2000) });
    const split = splitJob(spec, spec.dependencies, ACCEPTED_AT, 1024);
    expect(encodedLengthBytes(encodeJob(recordOf(split.spec)))).toBeLessThanOrEqual(1024);
    expect(longestValueBytes(split.records)).toBeLessThanOrEqual(1024);
    expect(valuesUnder(split.records, 'deps/').flat()).toEqual(jobIds(2000));
    const stored: unknown = JSON.parse(JSON.stringify(encodeJob(recordOf(split.spec))));
    const restored = withDescription(decodeJob(ID, stored), valuesUnder<string>(split.records, 'desc/'));
    expect(restored.spec).toEqual(split.spec);
    expect(restored.spec).toMatchObject({
      jobClass: LONG_NAME,
      image: LONG_NAME,
      zone: LONG_NAME,
      allowedTypes: ['small', LONG_NAME, LONG_NAME],
    });
  });

  it('creates the same overflow records on two controllers if only one of them knows that a dependency is done', () => {
    const spec = submission({ awaits: jobIds(200) });
    const specWithoutEnded = { ...spec, dependencies: spec.dependencies.slice(1) };
    const complete = splitJob(spec, spec.dependencies, ACCEPTED_AT, 1024);
    const withoutEnded = splitJob(specWithoutEnded, spec.dependencies, ACCEPTED_AT, 1024);
    // The store may end up with overflow records of both controllers. If their contents differed, a dependency could be
    // missing from all stored records, and the job would start without waiting for that dependency.
    expect(withoutEnded).toEqual(complete);
  });
});

describe('encodeEndedJob', () => {
  it('leaves out names and dependencies if the record would exceed the value size', () => {
    const record: JobRecord = {
      ...recordOf(submission({ ...LONG_NAMES, awaits: jobIds(60) })),
      state: 'done',
    };
    const stored = encodeEndedJob(record, 1024);
    expect(encodedLengthBytes(stored)).toBeLessThanOrEqual(1024);
    expect(decodeJob(ID, stored)).toMatchObject({ state: 'done', spec: { taskCount: 200, kind: 'array' } });
    // Earlier versions read the first 18 positions only.
    expect(stored.j).toHaveLength(18);
    expect(decodeJob(ID, encodeEndedJob(record, 16_384)).spec.jobClass).toBe(LONG_NAME);
  });

  it('does not refer to dependency overflow records, which are deleted when the job ends', () => {
    const spec: JobSpec = { ...submission({}), dependencyRecordCount: 2 };
    expect(encodeEndedJob({ ...recordOf(spec), state: 'done' }, 16_384).j).toHaveLength(18);
  });
});
