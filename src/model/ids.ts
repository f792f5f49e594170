/** Branded types for names and numbers, so that one kind is never passed for another. */

declare const brand: unique symbol;
/** A value of type `T` that cannot be passed for another brand of `T`. */
export type Branded<T, Name extends string> = T & { readonly [brand]: Name };

/** A controller: one process of this program. */
export type MemberId = Branded<string, 'MemberId'>;
/** An availability zone. */
export type ZoneId = Branded<string, 'ZoneId'>;
/** A team, to which quotas apply. */
export type TeamId = Branded<string, 'TeamId'>;
/** A job: `j-000412`. */
export type JobId = Branded<string, 'JobId'>;
/** A machine that the cloud rents out, and the worker (the agent) on it. */
export type MachineId = Branded<string, 'MachineId'>;
/** A machine type of the cloud. */
export type MachineTypeId = Branded<string, 'MachineTypeId'>;
/** An image that tasks need. */
export type ImageId = Branded<string, 'ImageId'>;
/** Idempotency key of a request for machines; never used for another request. */
export type ScaleOutRequestId = Branded<string, 'ScaleOutRequestId'>;
/** Revision of a key in the key-value store; 0: the key does not exist. */
export type Revision = Branded<number, 'Revision'>;
/** A lease of the key-value store: keys bound to it are removed when it expires. */
export type LeaseId = Branded<number, 'LeaseId'>;
/** A leadership term. Raised by every takeover, never reused. */
export type Epoch = Branded<number, 'Epoch'>;
/** The fencing token that a worker compares: the epoch, and within it a generation per machine. */
export type FencingToken = Branded<number, 'FencingToken'>;
/** A machine's own part of its fencing token within one epoch. */
export type FenceGeneration = Branded<number, 'FenceGeneration'>;
/** Incarnation of a worker: it begins another one whenever its lease expires. */
export type AgentIncarnation = Branded<number, 'AgentIncarnation'>;
/** Sequence number of a worker's message within its incarnation. */
export type HeartbeatSequence = Branded<number, 'HeartbeatSequence'>;
/** Number of an attempt at a task. Never used twice. */
export type AttemptNumber = Branded<number, 'AttemptNumber'>;
/** Index of a task within its job array, from 0. */
export type TaskIndex = Branded<number, 'TaskIndex'>;
/** A task: `j-000412/3`. */
export type TaskId = Branded<string, 'TaskId'>;

/** The revision of a key that does not exist. */
export const NO_REVISION = 0 as Revision;

/** Generations of one machine in one epoch: at two a second more than three months of one term. */
const FENCE_GENERATIONS_PER_EPOCH = 2 ** 24;
/** The last generation that an epoch has room for. */
export const MAX_FENCE_GENERATION = (FENCE_GENERATIONS_PER_EPOCH - 1) as FenceGeneration;

/** Combines an epoch and a machine's generation; tokens of a later epoch are always greater. */
export const fencingTokenOf = (epoch: Epoch, generation: FenceGeneration): FencingToken =>
  (epoch * FENCE_GENERATIONS_PER_EPOCH + generation) as FencingToken;

/** Returns the epoch of a fencing token. */
export const epochOfFencingToken = (token: FencingToken): Epoch =>
  Math.floor(token / FENCE_GENERATIONS_PER_EPOCH) as Epoch;

const JOB_ID = /^j-\d{1,20}$/;
const TASK_ID = /^(j-\d{1,20})\/(\d{1,9})$/;

/** Reports whether the text has the form of a job id. */
export function isJobId(text: string): text is JobId {
  return JOB_ID.test(text);
}

/** Formats the id of a task. */
export function formatTaskId(job: JobId, index: TaskIndex): TaskId {
  return `${job}/${index}` as TaskId;
}

/** Parses the id of a task into its job and index; null: it has another form. */
export function parseTaskId(id: string): { job: JobId; index: TaskIndex } | null {
  const parts = TASK_ID.exec(id);
  if (!parts) return null;
  return { job: parts[1] as JobId, index: Number(parts[2]) as TaskIndex };
}
