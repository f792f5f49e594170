import type {
  Epoch,
  HostId,
  ImageId,
  JobId,
  MemberId,
  TaskIndex,
  TeamId,
  TryNo,
  TypeId,
  ZoneId,
} from '../model/ids.js';
import type { JobKind, JobRecord, JobSpec, JobState } from '../model/job.js';
import type { WallTime } from '../model/time.js';

/** Keys of the state service and the records under them (docs/state.md). */
export const keys = {
  epoch: 'epoch',
  leader: 'leader',
  jobs: 'job/',
  job: (id: JobId): string => `job/${id}`,
  open: 'open/',
  openHead: (id: JobId): string => `open/${id}`,
  /** Chunks of another size than the usual one name it: versions that don't know them leave them unread. */
  openChunk: (id: JobId, chunk: number, size: number): string => {
    const n = String(chunk).padStart(4, '0');
    return size === CHUNK_TASKS ? `open/${id}/${n}` : `open/${id}/${size}-${n}`;
  },
  /** Dependencies that don't fit their job's record. */
  dependencies: (id: JobId, n: number): string => `deps/${id}/${String(n).padStart(4, '0')}`,
  types: 'cloud/types',
  fleet: 'fleet/',
  fleetChunk: (n: number): string => `fleet/${String(n).padStart(4, '0')}`,
  forecast: 'forecast/',
  forecastOf: (type: string): string => `forecast/${type}`,
};

export function parseOpenKey(key: string): { job: JobId; chunk: number | null; size: number } | null {
  const parts = /^open\/(j-\d+)(?:\/(?:(\d+)-)?(\d+))?$/.exec(key);
  if (!parts) return null;
  return {
    job: parts[1] as JobId,
    chunk: parts[3] === undefined ? null : Number(parts[3]),
    size: parts[2] === undefined ? CHUNK_TASKS : Number(parts[2]),
  };
}

export interface LeaderRecord {
  readonly member: MemberId;
  readonly epoch: Epoch;
  /** What the leader's program understands (`SPEAKS`); 0: it is from before that was written. */
  readonly speaks: number;
}

export function leaderRecord(value: unknown): LeaderRecord | null {
  const v = value as { member?: unknown; epoch?: unknown; speaks?: unknown } | null | undefined;
  if (!v || typeof v.member !== 'string' || typeof v.epoch !== 'number') return null;
  const speaks = typeof v.speaks === 'number' ? v.speaks : 0;
  return { member: v.member as MemberId, epoch: v.epoch as Epoch, speaks };
}

export function epochOf(value: unknown): Epoch {
  const v = value as { n?: unknown } | null | undefined;
  return (typeof v?.n === 'number' ? v.n : 0) as Epoch;
}

type SpecTuple = [
  string,
  string,
  JobKind,
  number,
  number,
  number,
  number,
  number,
  string,
  number,
  string[] | null,
  string | null,
  number,
  boolean,
  number,
  number,
  number,
  number | null,
  /** Its dependencies, or in how many further records they are. Earlier versions read no further than before this. */
  (string[] | number)?,
];

interface StoredJob {
  s: 'a' | 'd' | 'c';
  at: number;
  j: SpecTuple;
}

const STATE_LETTERS = { accepted: 'a', done: 'd', cancelled: 'c' } as const;
const STATES: Record<string, JobState> = { a: 'accepted', d: 'done', c: 'cancelled' };

export function encodeJob(record: JobRecord): StoredJob {
  const p = record.spec;
  const j: SpecTuple = [
    p.jobClass,
    p.team,
    p.kind,
    p.priority,
    p.tasks,
    p.cpus,
    p.gpus,
    p.memoryGb,
    p.image,
    p.imageGb,
    p.types as string[] | null,
    p.zone,
    (p.oneZone ? 1 : 0) + (p.spread ? 2 : 0),
    p.spot,
    p.estimateS,
    p.checkpointS,
    p.saveS,
    p.deadlineS,
  ];
  if (p.dependencyRecords > 0) j.push(p.dependencyRecords);
  else if (p.dependencies.length > 0) j.push([...p.dependencies]);
  return { s: STATE_LETTERS[record.state], at: record.acceptedAt, j };
}

export function decodeJob(id: JobId, value: unknown): JobRecord {
  const v = value as StoredJob;
  const state = STATES[v.s];
  if (!state || !Array.isArray(v.j)) throw new Error(`job record ${id} cannot be read`);
  const [
    jobClass,
    team,
    kind,
    priority,
    tasks,
    cpus,
    gpus,
    memoryGb,
    image,
    imageGb,
    types,
    zone,
    flags,
    spot,
    estimateS,
    checkpointS,
    saveS,
    deadlineS,
    dependencies,
  ] = v.j;
  const spec: JobSpec = {
    id,
    jobClass,
    team: team as TeamId,
    kind,
    priority,
    tasks,
    cpus,
    gpus,
    memoryGb,
    image: image as ImageId,
    imageGb,
    types: types as TypeId[] | null,
    zone: zone as ZoneId | null,
    oneZone: (flags & 1) !== 0,
    spread: (flags & 2) !== 0,
    spot,
    estimateS,
    checkpointS,
    saveS,
    deadlineS,
    dependencies: Array.isArray(dependencies) ? (dependencies as JobId[]) : [],
    dependencyRecords: typeof dependencies === 'number' ? dependencies : 0,
  };
  return { spec, state, acceptedAt: v.at as WallTime };
}

/** Tasks of one job whose progress shares one record, as every version reads it: under 16 KiB. */
export const CHUNK_TASKS = 300;
/** What one task takes in a record at most, and what the record takes besides. */
const TASK_BYTES = 32;
const CHUNK_BYTES = 128;

/** How many tasks' progress fits a value of so many bytes. */
export function chunkTasks(valueBytes: number): number {
  return Math.max(1, Math.min(CHUNK_TASKS, Math.floor((valueBytes - CHUNK_BYTES) / TASK_BYTES)));
}

/** Where a task may be: its current attempt and host. */
export interface Placement {
  readonly tryNo: TryNo;
  readonly host: HostId;
}

/** Progress of one chunk; tasks that were never touched do not appear. */
export interface ChunkProgress {
  readonly done: ReadonlySet<TaskIndex>;
  readonly placed: ReadonlyMap<TaskIndex, Placement>;
  /** Tries used up by tasks that are neither done nor placed. */
  readonly used: ReadonlyMap<TaskIndex, TryNo>;
}

interface StoredChunk {
  d?: [number, number][];
  p?: [number, number, string][];
  u?: [number, number][];
}

export function encodeChunk(progress: ChunkProgress): StoredChunk {
  const stored: StoredChunk = {};
  const done = [...progress.done].sort((a, b) => a - b);
  const ranges: [number, number][] = [];
  for (const i of done) {
    const last = ranges[ranges.length - 1];
    if (last && last[1] === i - 1) last[1] = i;
    else ranges.push([i, i]);
  }
  if (ranges.length) stored.d = ranges;
  if (progress.placed.size) stored.p = [...progress.placed].map(([i, a]) => [i, a.tryNo, a.host]);
  if (progress.used.size) stored.u = [...progress.used];
  return stored;
}

export function decodeChunk(value: unknown): ChunkProgress {
  const v = (value ?? {}) as StoredChunk;
  const done = new Set<TaskIndex>();
  for (const [from, to] of v.d ?? []) for (let i = from; i <= to; i++) done.add(i as TaskIndex);
  const placed = new Map<TaskIndex, Placement>();
  for (const [i, tryNo, host] of v.p ?? []) {
    placed.set(i as TaskIndex, { tryNo: tryNo as TryNo, host: host as HostId });
  }
  const used = new Map<TaskIndex, TryNo>();
  for (const [i, tryNo] of v.u ?? []) used.set(i as TaskIndex, tryNo as TryNo);
  return { done, placed, used };
}
