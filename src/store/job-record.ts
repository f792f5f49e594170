/**
 * Codec of a job's record. The record holds the job's description as a tuple of fields by position. The format is
 * shared with earlier versions: new fields are only appended, and an earlier version ignores positions that it does
 * not know.
 *
 * Parts of a job that exceed the store's value size go into overflow records, which are written before the job record.
 */
import type { ImageId, JobId, TeamId, MachineTypeId, ZoneId } from '../model/ids.js';
import type { JobKind, JobRecord, JobSpec, JobState } from '../model/job.js';
import type { WallTime } from '../model/time.js';
import type { SetOperation } from '../wire/key-value-store.js';
import { InvalidRecordError } from './errors.js';
import { keys } from './keys.js';

/** A job's description as stored, with fields by position (docs/state.md). */
type SpecTuple = [
  jobClass: string,
  team: string,
  kind: JobKind,
  priority: number,
  taskCount: number,
  cpus: number,
  gpus: number,
  memoryGb: number,
  image: string,
  imageGb: number,
  allowedTypes: string[] | null,
  zone: string | null,
  /** Bit set of `ZONE_AFFINITY_FLAG` and `ZONE_ANTI_AFFINITY_FLAG`. */
  zoneFlags: number,
  allowsSpot: boolean,
  estimatedRunS: number,
  checkpointIntervalS: number,
  checkpointWriteS: number,
  deadlineS: number | null,
  /** The job's dependencies, or the number of overflow records that hold the dependencies. */
  dependencies?: string[] | number,
  /** Number of overflow records that hold the names; above 0, the names in this tuple are empty or null. */
  descriptionRecordCount?: number,
];

/** The stored value under `job/<id>` and `open/<id>`. */
export interface StoredJob {
  /** State: accepted, done or cancelled. */
  s: 'a' | 'd' | 'c';
  /** Time at which the job was accepted, in milliseconds since 1970. */
  at: number;
  /** The job's description. */
  j: SpecTuple;
}

/** The names in a description, that is all fields whose length the user chooses, as stored in overflow records. */
type NameTuple = [
  jobClass: string,
  team: string,
  image: string,
  allowedTypes: string[] | null,
  zone: string | null,
];

const STATE_CODES = { accepted: 'a', done: 'd', cancelled: 'c' } as const;
const STATES_BY_CODE: Record<string, JobState> = { a: 'accepted', d: 'done', c: 'cancelled' };

const ZONE_AFFINITY_FLAG = 1;
const ZONE_ANTI_AFFINITY_FLAG = 2;
/** Upper bound on the encoded size of a value in an overflow record besides its content (brackets or quotes). */
const RECORD_OVERHEAD_BYTES = 16;
/** Encoded size of a list entry besides its text: two quotes and a comma. */
const ENTRY_OVERHEAD_BYTES = 3;

/** Returns the length in bytes of a value as the store holds it: JSON in UTF-8. */
export function encodedLengthBytes(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}

function withoutNames(spec: JobSpec): JobSpec {
  return {
    ...spec,
    jobClass: '',
    team: '' as TeamId,
    image: '' as ImageId,
    allowedTypes: null,
    zone: null,
  };
}

function encodeZoneFlags({ zoneAffinity, zoneAntiAffinity }: JobSpec): number {
  return (zoneAffinity ? ZONE_AFFINITY_FLAG : 0) + (zoneAntiAffinity ? ZONE_ANTI_AFFINITY_FLAG : 0);
}

function encodeSpec(spec: JobSpec): SpecTuple {
  const tuple: SpecTuple = [
    spec.jobClass,
    spec.team,
    spec.kind,
    spec.priority,
    spec.taskCount,
    spec.cpus,
    spec.gpus,
    spec.memoryGb,
    spec.image,
    spec.imageGb,
    spec.allowedTypes as string[] | null,
    spec.zone,
    encodeZoneFlags(spec),
    spec.allowsSpot,
    spec.estimatedRunS,
    spec.checkpointIntervalS,
    spec.checkpointWriteS,
    spec.deadlineS,
  ];
  if (spec.dependencyRecordCount > 0) tuple.push(spec.dependencyRecordCount);
  else if (spec.dependencies.length > 0) tuple.push([...spec.dependencies]);
  else if (spec.descriptionRecordCount > 0) tuple.push(0);
  if (spec.descriptionRecordCount > 0) tuple.push(spec.descriptionRecordCount);
  return tuple;
}

/** Encodes a job's record. The names are left out if overflow records hold them. */
export function encodeJob({ spec, state, acceptedAt }: JobRecord): StoredJob {
  const storedSpec = spec.descriptionRecordCount > 0 ? withoutNames(spec) : spec;
  return { s: STATE_CODES[state], at: acceptedAt, j: encodeSpec(storedSpec) };
}

/**
 * Encodes the record of a done or cancelled job, without its dependencies. The names are also left out if overflow
 * records hold them or the record would exceed `valueBytes`: nothing reads the names of such a job, and the write of
 * its final state must not fail for its size.
 */
export function encodeEndedJob(record: JobRecord, valueBytes: number): StoredJob {
  const spec: JobSpec = { ...record.spec, dependencies: [], dependencyRecordCount: 0 };
  const stored = encodeJob({ ...record, spec });
  if (encodedLengthBytes(stored) <= valueBytes) return stored;
  return encodeJob({ ...record, spec: withoutNames({ ...spec, descriptionRecordCount: 0 }) });
}

function decodeSpec(id: JobId, tuple: SpecTuple): JobSpec {
  const [
    jobClass,
    team,
    kind,
    priority,
    taskCount,
    cpus,
    gpus,
    memoryGb,
    image,
    imageGb,
    ...constraintFields
  ] = tuple;
  const [allowedTypes, zone, zoneFlags, allowsSpot, ...timeFields] = constraintFields;
  const [estimatedRunS, checkpointIntervalS, checkpointWriteS, deadlineS, ...optionalFields] = timeFields;
  const [dependencies, descriptionRecordCount] = optionalFields;
  return {
    id,
    jobClass,
    team: team as TeamId,
    kind,
    priority,
    taskCount,
    cpus,
    gpus,
    memoryGb,
    image: image as ImageId,
    imageGb,
    allowedTypes: allowedTypes as MachineTypeId[] | null,
    zone: zone as ZoneId | null,
    zoneAffinity: (zoneFlags & ZONE_AFFINITY_FLAG) !== 0,
    zoneAntiAffinity: (zoneFlags & ZONE_ANTI_AFFINITY_FLAG) !== 0,
    allowsSpot,
    estimatedRunS,
    checkpointIntervalS,
    checkpointWriteS,
    deadlineS,
    dependencies: Array.isArray(dependencies) ? (dependencies as JobId[]) : [],
    dependencyRecordCount: typeof dependencies === 'number' ? dependencies : 0,
    descriptionRecordCount: descriptionRecordCount ?? 0,
  };
}

const FIELD_TYPE_CHECKS = {
  text: (value: unknown): boolean => typeof value === 'string',
  number: (value: unknown): boolean => typeof value === 'number',
  flag: (value: unknown): boolean => typeof value === 'boolean',
  kind: (value: unknown): boolean => value === 'array' || value === 'service',
  texts: (value: unknown): boolean =>
    value === null || (Array.isArray(value) && value.every((entry) => typeof entry === 'string')),
  optionalText: (value: unknown): boolean => value === null || typeof value === 'string',
  optionalNumber: (value: unknown): boolean => value === null || typeof value === 'number',
};

/** Types of the fields that every version writes, by position. */
const SPEC_FIELD_TYPES: readonly (keyof typeof FIELD_TYPE_CHECKS)[] = [
  ...(['text', 'text', 'kind', 'number', 'number', 'number', 'number', 'number', 'text', 'number'] as const),
  ...(['texts', 'optionalText', 'number', 'flag', 'number', 'number', 'number', 'optionalNumber'] as const),
];

function isSpecTuple(value: unknown): value is SpecTuple {
  return (
    Array.isArray(value) &&
    SPEC_FIELD_TYPES.every((type, position) => FIELD_TYPE_CHECKS[type](value[position]))
  );
}

/**
 * Decodes a job's record. If its `descriptionRecordCount` is above 0, the names are still missing: the caller reads
 * them from the overflow records and adds them with `withDescription`.
 *
 * @throws {InvalidRecordError} If no version writes such a value.
 */
export function decodeJob(id: JobId, value: unknown): JobRecord {
  const stored = value as Partial<StoredJob> | null | undefined;
  const state = STATES_BY_CODE[stored?.s ?? ''];
  if (!state || typeof stored?.at !== 'number' || !isSpecTuple(stored.j))
    throw new InvalidRecordError(
      `record of job ${id} has an invalid state, time of acceptance or description`,
    );
  return { spec: decodeSpec(id, stored.j), state, acceptedAt: stored.at as WallTime };
}

/** A job split for storage: the description for the job record, and the writes of the overflow records. */
export interface SplitJob {
  readonly spec: JobSpec;
  /** Writes of the overflow records, which have to be committed before the job record. */
  readonly records: readonly SetOperation[];
}

/**
 * Splits an accepted job so that no stored value exceeds `valueBytes`. The content of the overflow records depends on
 * the submission and `valueBytes` alone, so that two controllers that accept the same submission concurrently write the
 * same records.
 *
 * @param submittedDependencies All dependencies in the submission, including jobs that are already done.
 */
export function splitJob(
  spec: JobSpec,
  submittedDependencies: readonly JobId[],
  acceptedAt: WallTime,
  valueBytes: number,
): SplitJob {
  const fits = (candidate: JobSpec): boolean =>
    encodedLengthBytes(encodeJob({ spec: candidate, state: 'accepted', acceptedAt })) <= valueBytes;
  if (fits(spec)) return { spec, records: [] };
  const dependencyRecords =
    spec.dependencies.length > 0 ? encodeDependencies(spec.id, submittedDependencies, valueBytes) : [];
  const withoutDependencies: JobSpec =
    dependencyRecords.length > 0
      ? { ...spec, dependencies: [], dependencyRecordCount: dependencyRecords.length }
      : spec;
  if (fits(withoutDependencies)) return { spec: withoutDependencies, records: dependencyRecords };
  const descriptionRecords = encodeDescription(spec, valueBytes);
  return {
    spec: { ...withoutDependencies, descriptionRecordCount: descriptionRecords.length },
    records: [...dependencyRecords, ...descriptionRecords],
  };
}

function encodeDependencies(id: JobId, dependencies: readonly JobId[], valueBytes: number): SetOperation[] {
  const records: SetOperation[] = [];
  let batch: JobId[] = [];
  let batchBytes = RECORD_OVERHEAD_BYTES;
  const flushBatch = (): void => {
    if (batch.length > 0) records.push({ set: keys.dependencies(id, records.length), value: batch });
    batch = [];
    batchBytes = RECORD_OVERHEAD_BYTES;
  };
  for (const dependency of dependencies) {
    const entryBytes = dependency.length + ENTRY_OVERHEAD_BYTES;
    if (batchBytes + entryBytes > valueBytes) flushBatch();
    batch.push(dependency);
    batchBytes += entryBytes;
  }
  flushBatch();
  return records;
}

function encodeDescription(spec: JobSpec, valueBytes: number): SetOperation[] {
  const names: NameTuple = [
    spec.jobClass,
    spec.team,
    spec.image,
    spec.allowedTypes as string[] | null,
    spec.zone,
  ];
  // Base64 text has one byte per character and needs no JSON escapes, so it can be split at any position.
  const text = Buffer.from(JSON.stringify(names)).toString('base64');
  const segmentLength = valueBytes - RECORD_OVERHEAD_BYTES;
  const records: SetOperation[] = [];
  for (let start = 0; start < text.length; start += segmentLength) {
    const value = text.slice(start, start + segmentLength);
    records.push({ set: keys.description(spec.id, records.length), value });
  }
  return records;
}

function isNameTuple(value: unknown): value is NameTuple {
  if (!Array.isArray(value)) return false;
  const [jobClass, team, image, allowedTypes, zone] = value as unknown[];
  const { text, texts, optionalText } = FIELD_TYPE_CHECKS;
  return text(jobClass) && text(team) && text(image) && texts(allowedTypes) && optionalText(zone);
}

function decodeNames(segments: readonly string[]): NameTuple {
  try {
    const names: unknown = JSON.parse(Buffer.from(segments.join(''), 'base64').toString('utf8'));
    if (isNameTuple(names)) return names;
  } catch (error) {
    throw new InvalidRecordError(
      'overflow records of a job description: the joined text is not base64-encoded JSON',
      { cause: error },
    );
  }
  throw new InvalidRecordError(
    'overflow records of a job description: the decoded value does not hold the five names',
  );
}

/**
 * Returns a decoded job record with the names from its overflow records.
 *
 * @param segments The values of the overflow records, in the order of their keys.
 * @throws {InvalidRecordError} If the joined segments are not the encoded names.
 */
export function withDescription(record: JobRecord, segments: readonly string[]): JobRecord {
  const [jobClass, team, image, allowedTypes, zone] = decodeNames(segments);
  return {
    ...record,
    spec: {
      ...record.spec,
      jobClass,
      team: team as TeamId,
      image: image as ImageId,
      allowedTypes: allowedTypes as MachineTypeId[] | null,
      zone: zone as ZoneId | null,
    },
  };
}

/** Returns the keys of all overflow records of a job. */
export function overflowKeys(spec: JobSpec): string[] {
  const { id, dependencyRecordCount, descriptionRecordCount } = spec;
  return [
    ...Array.from({ length: dependencyRecordCount }, (_, recordNumber) =>
      keys.dependencies(id, recordNumber),
    ),
    ...Array.from({ length: descriptionRecordCount }, (_, recordNumber) =>
      keys.description(id, recordNumber),
    ),
  ];
}
