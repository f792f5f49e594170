/**
 * A job's record. Its description is a tuple by position, because every version reads it so: places are
 * only ever added at its end, and an earlier version reads no further than the places that it knows.
 */
import type { ImageId, JobId, TeamId, MachineTypeId, ZoneId } from '../model/ids.js';
import type { JobKind, JobRecord, JobSpec, JobState } from '../model/job.js';
import type { WallTime } from '../model/time.js';
import type { WriteOperation } from '../wire/key-value-store.js';
import { keys } from './keys.js';

type JobTuple = [
  jobClass: string,
  team: string,
  kind: JobKind,
  priority: number,
  tasks: number,
  cpus: number,
  gpus: number,
  memoryGb: number,
  image: string,
  imageGb: number,
  types: string[] | null,
  zone: string | null,
  flags: number,
  spot: boolean,
  estimatedRunS: number,
  checkpointIntervalS: number,
  checkpointWriteS: number,
  deadlineS: number | null,
  /** The jobs that it needs, or in how many further records they are. */
  dependencies?: string[] | number,
  /** In how many further records its names are; they are empty here then. */
  descriptionRecords?: number,
];

/** The value under `job/<ref>` and `open/<ref>`: state, acceptance time, description. */
export interface StoredJob {
  s: 'a' | 'd' | 'c';
  at: number;
  j: JobTuple;
}

/** What a further record of a description holds in all: everything whose length the user decides. */
type Names = [jobClass: string, team: string, image: string, types: string[] | null, zone: string | null];

const STATE_LETTERS = { accepted: 'a', done: 'd', cancelled: 'c' } as const;
const STATES: Record<string, JobState> = { a: 'accepted', d: 'done', c: 'cancelled' };

const ONE_ZONE = 1;
const SPREAD = 2;
/** What a list takes besides its entries, and an entry besides its text. */
const LIST_BYTES = 16;
const ENTRY_BYTES = 3;

/** How long a value is for the state service. */
export function encodedLength(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}

const withoutNames = (spec: JobSpec): JobSpec => ({
  ...spec,
  jobClass: '',
  team: '' as TeamId,
  image: '' as ImageId,
  allowedTypes: null,
  zone: null,
});

/** Without the names where further records hold them. */
export function encodeJob({ spec: whole, state, acceptedAt }: JobRecord): StoredJob {
  const spec = whole.descriptionRecordCount > 0 ? withoutNames(whole) : whole;
  const j: JobTuple = [
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
    (spec.zoneAffinity ? ONE_ZONE : 0) + (spec.zoneAntiAffinity ? SPREAD : 0),
    spec.allowsSpot,
    spec.estimatedRunS,
    spec.checkpointIntervalS,
    spec.checkpointWriteS,
    spec.deadlineS,
  ];
  if (spec.dependencyRecordCount > 0) j.push(spec.dependencyRecordCount);
  else if (spec.dependencies.length > 0) j.push([...spec.dependencies]);
  else if (spec.descriptionRecordCount > 0) j.push(0);
  if (spec.descriptionRecordCount > 0) j.push(spec.descriptionRecordCount);
  return { s: STATE_LETTERS[state], at: acceptedAt, j };
}

/**
 * The record of a job that is over. Nobody asks any more what it was called, so where its description is too
 * long for the state service as it is now, the names are left out: the end must be told in any case.
 */
export function encodeEndedJob(record: JobRecord, valueBytes: number): StoredJob {
  const spec = { ...record.spec, dependencies: [], dependencyRecords: 0 };
  const stored = encodeJob({ ...record, spec });
  if (encodedLength(stored) <= valueBytes) return stored;
  return encodeJob({ ...record, spec: withoutNames({ ...spec, descriptionRecordCount: 0 }) });
}

/** Throws on what no version writes. With `descriptionRecords` above 0 the names are still to be read. */
export function decodeJob(id: JobId, value: unknown): JobRecord {
  const stored = value as StoredJob;
  const state = STATES[stored.s];
  if (!state || !Array.isArray(stored.j)) throw new Error(`job record ${id} cannot be read`);
  const [jobClass, team, kind, priority, tasks, cpus, gpus, memoryGb, image, imageGb, ...rest] = stored.j;
  const [
    types,
    zone,
    flags,
    spot,
    estimatedRunS,
    checkpointIntervalS,
    checkpointWriteS,
    deadlineS,
    needed,
    described,
  ] = rest;
  const spec: JobSpec = {
    id,
    jobClass,
    team: team as TeamId,
    kind,
    priority,
    taskCount: tasks,
    cpus,
    gpus,
    memoryGb,
    image: image as ImageId,
    imageGb,
    allowedTypes: types as MachineTypeId[] | null,
    zone: zone as ZoneId | null,
    zoneAffinity: (flags & ONE_ZONE) !== 0,
    zoneAntiAffinity: (flags & SPREAD) !== 0,
    allowsSpot: spot,
    estimatedRunS,
    checkpointIntervalS,
    checkpointWriteS,
    deadlineS,
    dependencies: Array.isArray(needed) ? (needed as JobId[]) : [],
    dependencyRecordCount: typeof needed === 'number' ? needed : 0,
    descriptionRecordCount: described ?? 0,
  };
  return { spec, state, acceptedAt: stored.at as WallTime };
}

/** A job as it is stored: what has no room in its record stands in further ones, written before it. */
export interface SplitJob {
  readonly spec: JobSpec;
  readonly records: readonly WriteOperation[];
}

/**
 * Keeps every value of an accepted job to the given size. What the further records hold follows from the
 * submission alone: two nodes that take in the same submission at once write the same ones.
 *
 * @param named All jobs that the submission names, those that are done by now included.
 */
export function splitJob(
  spec: JobSpec,
  named: readonly JobId[],
  acceptedAt: WallTime,
  valueBytes: number,
): SplitJob {
  const fits = (one: JobSpec): boolean =>
    encodedLength(encodeJob({ spec: one, state: 'accepted', acceptedAt })) <= valueBytes;
  if (fits(spec)) return { spec, records: [] };
  const lists = spec.dependencies.length > 0 ? dependencyRecords(spec.id, named, valueBytes) : [];
  const listed: JobSpec =
    lists.length > 0 ? { ...spec, dependencies: [], dependencyRecordCount: lists.length } : spec;
  if (fits(listed)) return { spec: listed, records: lists };
  const names = descriptionRecords(spec, valueBytes);
  return { spec: { ...listed, descriptionRecordCount: names.length }, records: [...lists, ...names] };
}

function dependencyRecords(id: JobId, named: readonly JobId[], valueBytes: number): WriteOperation[] {
  const records: WriteOperation[] = [];
  let part: JobId[] = [];
  let bytes = LIST_BYTES;
  const close = (): void => {
    if (part.length > 0) records.push({ set: keys.dependencies(id, records.length), value: part });
    part = [];
    bytes = LIST_BYTES;
  };
  for (const one of named) {
    const more = one.length + ENTRY_BYTES;
    if (bytes + more > valueBytes) close();
    part.push(one);
    bytes += more;
  }
  close();
  return records;
}

function descriptionRecords(spec: JobSpec, valueBytes: number): WriteOperation[] {
  const names: Names = [
    spec.jobClass,
    spec.team,
    spec.image,
    spec.allowedTypes as string[] | null,
    spec.zone,
  ];
  // In letters that take one byte each and need no escape, so that it can be cut anywhere.
  const text = Buffer.from(JSON.stringify(names)).toString('base64');
  const most = valueBytes - LIST_BYTES;
  const records: WriteOperation[] = [];
  for (let at = 0; at < text.length; at += most) {
    records.push({ set: keys.description(spec.id, records.length), value: text.slice(at, at + most) });
  }
  return records;
}

/** The record with the names that its further records hold. */
export function withDescription(record: JobRecord, parts: readonly string[]): JobRecord {
  const text = Buffer.from(parts.join(''), 'base64').toString('utf8');
  const [jobClass, team, image, types, zone] = JSON.parse(text) as Names;
  return {
    ...record,
    spec: {
      ...record.spec,
      jobClass,
      team: team as TeamId,
      image: image as ImageId,
      allowedTypes: types as MachineTypeId[] | null,
      zone: zone as ZoneId | null,
    },
  };
}

/** The keys of all further records of a job. */
export function overflowKeys(spec: JobSpec): string[] {
  const lists = Array.from({ length: spec.dependencyRecordCount }, (_, n) => keys.dependencies(spec.id, n));
  const names = Array.from({ length: spec.descriptionRecordCount }, (_, n) => keys.description(spec.id, n));
  return [...lists, ...names];
}
