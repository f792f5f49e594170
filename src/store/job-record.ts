/**
 * Codec of a job's record. Its description is a tuple by position, because every version reads it so: positions are
 * only ever added at its end, and an earlier version reads no further than the positions that it knows.
 *
 * What does not fit a record goes into overflow records of its job, which are written before it.
 */
import type { ImageId, JobId, TeamId, MachineTypeId, ZoneId } from '../model/ids.js';
import type { JobKind, JobRecord, JobSpec, JobState } from '../model/job.js';
import type { WallTime } from '../model/time.js';
import type { SetOperation } from '../wire/key-value-store.js';
import { InvalidRecordError } from './errors.js';
import { keys } from './keys.js';

/** A job's description by position (docs/state.md). */
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
  /** Bits `ZONE_AFFINITY_FLAG` and `ZONE_ANTI_AFFINITY_FLAG`. */
  zoneFlags: number,
  allowsSpot: boolean,
  estimatedRunS: number,
  checkpointIntervalS: number,
  checkpointWriteS: number,
  deadlineS: number | null,
  /** The job's dependencies, or how many overflow records hold them. */
  dependencies?: string[] | number,
  /** How many overflow records hold the names; they are empty here then. */
  descriptionRecordCount?: number,
];

/** The value under `job/<id>` and `open/<id>`. */
export interface StoredJob {
  /** State: accepted, done or cancelled. */
  s: 'a' | 'd' | 'c';
  /** When the job was accepted, in milliseconds since 1970. */
  at: number;
  /** The description. */
  j: SpecTuple;
}

/** The names of a description, that is everything whose length the user decides, as overflow records hold them. */
type NameTuple = [
  jobClass: string,
  team: string,
  image: string,
  allowedTypes: string[] | null,
  zone: string | null,
];

const STATE_LETTERS = { accepted: 'a', done: 'd', cancelled: 'c' } as const;
const STATES: Record<string, JobState> = { a: 'accepted', d: 'done', c: 'cancelled' };

const ZONE_AFFINITY_FLAG = 1;
const ZONE_ANTI_AFFINITY_FLAG = 2;
/** What a list takes besides its entries, and an entry besides its text. */
const LIST_OVERHEAD_BYTES = 16;
const ENTRY_OVERHEAD_BYTES = 3;

/** The length of a value in the store, in bytes. */
export function encodedLength(value: unknown): number {
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

/** Encodes a job's record, without the names where overflow records hold them. */
export function encodeJob({ spec, state, acceptedAt }: JobRecord): StoredJob {
  const storedSpec = spec.descriptionRecordCount > 0 ? withoutNames(spec) : spec;
  return { s: STATE_LETTERS[state], at: acceptedAt, j: encodeSpec(storedSpec) };
}

/**
 * Encodes the record of a job that is over. Nobody asks any more what it was called, so the names are left out where
 * its description is too long for the store as it is now: the end has to be written in any case.
 */
export function encodeEndedJob(record: JobRecord, valueBytes: number): StoredJob {
  const spec: JobSpec = { ...record.spec, dependencies: [], dependencyRecordCount: 0 };
  const stored = encodeJob({ ...record, spec });
  if (encodedLength(stored) <= valueBytes) return stored;
  return encodeJob({ ...record, spec: withoutNames({ ...spec, descriptionRecordCount: 0 }) });
}

function decodeSpec(id: JobId, tuple: SpecTuple): JobSpec {
  const [jobClass, team, kind, priority, taskCount, cpus, gpus, memoryGb, image, imageGb, ...rest] = tuple;
  const [allowedTypes, zone, zoneFlags, allowsSpot, ...times] = rest;
  const [estimatedRunS, checkpointIntervalS, checkpointWriteS, deadlineS, ...optional] = times;
  const [dependencies, descriptionRecordCount] = optional;
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

const SPEC_TYPES = {
  text: (value: unknown): boolean => typeof value === 'string',
  number: (value: unknown): boolean => typeof value === 'number',
  flag: (value: unknown): boolean => typeof value === 'boolean',
  kind: (value: unknown): boolean => value === 'array' || value === 'service',
  texts: (value: unknown): boolean =>
    value === null || (Array.isArray(value) && value.every((entry) => typeof entry === 'string')),
  optionalText: (value: unknown): boolean => value === null || typeof value === 'string',
  optionalNumber: (value: unknown): boolean => value === null || typeof value === 'number',
};

/** What stands at each of the places that every version writes. */
const SPEC_PLACES: readonly (keyof typeof SPEC_TYPES)[] = [
  ...(['text', 'text', 'kind', 'number', 'number', 'number', 'number', 'number', 'text', 'number'] as const),
  ...(['texts', 'optionalText', 'number', 'flag', 'number', 'number', 'number', 'optionalNumber'] as const),
];

function isSpecTuple(value: unknown): value is SpecTuple {
  return Array.isArray(value) && SPEC_PLACES.every((type, place) => SPEC_TYPES[type](value[place]));
}

/**
 * Decodes a job's record. With a `descriptionRecordCount` above 0 its names are still to be read (`withDescription`).
 *
 * @throws {InvalidRecordError} On a value that no version writes.
 */
export function decodeJob(id: JobId, value: unknown): JobRecord {
  const stored = value as Partial<StoredJob> | null | undefined;
  const state = STATES[stored?.s ?? ''];
  if (!state || typeof stored?.at !== 'number' || !isSpecTuple(stored.j))
    throw new InvalidRecordError(`job record ${id} cannot be read`);
  return { spec: decodeSpec(id, stored.j), state, acceptedAt: stored.at as WallTime };
}

/** A job as it is stored: its description as its record holds it, and its overflow records. */
export interface SplitJob {
  readonly spec: JobSpec;
  /** To be written before the job's own record. */
  readonly records: readonly SetOperation[];
}

/**
 * Keeps every value of an accepted job to the given size. The content of the overflow records follows from the
 * submission alone: two nodes that accept the same submission at once write the same ones.
 *
 * @param submittedDependencies All jobs that the submission names, those that are done by now included.
 */
export function splitJob(
  spec: JobSpec,
  submittedDependencies: readonly JobId[],
  acceptedAt: WallTime,
  valueBytes: number,
): SplitJob {
  const fits = (candidate: JobSpec): boolean =>
    encodedLength(encodeJob({ spec: candidate, state: 'accepted', acceptedAt })) <= valueBytes;
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
  let part: JobId[] = [];
  let partBytes = LIST_OVERHEAD_BYTES;
  const flushPart = (): void => {
    if (part.length > 0) records.push({ set: keys.dependencies(id, records.length), value: part });
    part = [];
    partBytes = LIST_OVERHEAD_BYTES;
  };
  for (const dependency of dependencies) {
    const entryBytes = dependency.length + ENTRY_OVERHEAD_BYTES;
    if (partBytes + entryBytes > valueBytes) flushPart();
    part.push(dependency);
    partBytes += entryBytes;
  }
  flushPart();
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
  // Base64 takes one byte a letter and needs no escapes, so that it can be cut anywhere.
  const text = Buffer.from(JSON.stringify(names)).toString('base64');
  const partLength = valueBytes - LIST_OVERHEAD_BYTES;
  const records: SetOperation[] = [];
  for (let start = 0; start < text.length; start += partLength) {
    const value = text.slice(start, start + partLength);
    records.push({ set: keys.description(spec.id, records.length), value });
  }
  return records;
}

function isNameTuple(value: unknown): value is NameTuple {
  if (!Array.isArray(value)) return false;
  const [jobClass, team, image, allowedTypes, zone] = value as unknown[];
  const { text, texts, optionalText } = SPEC_TYPES;
  return text(jobClass) && text(team) && text(image) && texts(allowedTypes) && optionalText(zone);
}

function decodeNames(parts: readonly string[]): NameTuple {
  try {
    const names: unknown = JSON.parse(Buffer.from(parts.join(''), 'base64').toString('utf8'));
    if (isNameTuple(names)) return names;
  } catch (error) {
    throw new InvalidRecordError('a description whose parts make no text', { cause: error });
  }
  throw new InvalidRecordError('a description without its names');
}

/**
 * Completes a decoded record with the names that its overflow records hold, given in their order.
 *
 * @throws {InvalidRecordError} If the parts don't fit together.
 */
export function withDescription(record: JobRecord, parts: readonly string[]): JobRecord {
  const [jobClass, team, image, allowedTypes, zone] = decodeNames(parts);
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

/** The keys of all overflow records of a job. */
export function overflowKeys(spec: JobSpec): string[] {
  const { id, dependencyRecordCount, descriptionRecordCount } = spec;
  return [
    ...Array.from({ length: dependencyRecordCount }, (_, number) => keys.dependencies(id, number)),
    ...Array.from({ length: descriptionRecordCount }, (_, number) => keys.description(id, number)),
  ];
}
