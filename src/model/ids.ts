/** Branded types for identifiers and numbers, so that the compiler rejects an identifier of the wrong kind. */

declare const brand: unique symbol;
/** A value of type `T` that is not assignable to another brand of `T`. */
export type Branded<T, Name extends string> = T & { readonly [brand]: Name };

/** Name of a controller, that is one process of this program. */
export type MemberId = Branded<string, 'MemberId'>;
/** Name of an availability zone. */
export type ZoneId = Branded<string, 'ZoneId'>;
/** Name of a team, to which quotas apply. */
export type TeamId = Branded<string, 'TeamId'>;
/** Id of a job: `j-000412`. */
export type JobId = Branded<string, 'JobId'>;
/** Id of a machine rented from the cloud, and of the worker (the agent) on the machine. */
export type MachineId = Branded<string, 'MachineId'>;
/** Name of a machine type of the cloud. */
export type MachineTypeId = Branded<string, 'MachineTypeId'>;
/** Name of an image that tasks run. */
export type ImageId = Branded<string, 'ImageId'>;
/** Idempotency key of a request to create machines; never reused for another request. */
export type ScaleOutRequestId = Branded<string, 'ScaleOutRequestId'>;
/** Revision of a key in the key-value store; 0 if the key does not exist. */
export type Revision = Branded<number, 'Revision'>;
/** Id of a lease in the key-value store. The store removes the keys bound to a lease when the lease expires. */
export type LeaseId = Branded<number, 'LeaseId'>;
/** Number of a leadership term. Each takeover increments the epoch; an epoch is never reused. */
export type Epoch = Branded<number, 'Epoch'>;
/**
 * Fencing token: the epoch and the machine's generation within it. A worker refuses commands whose token is below the
 * highest that the worker has seen.
 */
export type FencingToken = Branded<number, 'FencingToken'>;
/** Generation of one machine within one epoch: the low-order part of the machine's fencing token. */
export type FenceGeneration = Branded<number, 'FenceGeneration'>;
/** Incarnation of a worker. A worker begins a new incarnation whenever its lease expires or its machine restarts. */
export type AgentIncarnation = Branded<number, 'AgentIncarnation'>;
/** Sequence number of a worker's heartbeat within the worker's incarnation. */
export type HeartbeatSequence = Branded<number, 'HeartbeatSequence'>;
/** Number of an attempt at a task. A task never uses the same number twice. */
export type AttemptNumber = Branded<number, 'AttemptNumber'>;
/** Index of a task within its job array, from 0. */
export type TaskIndex = Branded<number, 'TaskIndex'>;
/** Id of a task: `j-000412/3`. */
export type TaskId = Branded<string, 'TaskId'>;

/** The revision of a key that does not exist. */
export const NO_REVISION = 0 as Revision;

/** Number of generations of one machine in one epoch: enough for over three months at two generations per second. */
const FENCE_GENERATIONS_PER_EPOCH = 2 ** 24;
/** Highest generation of a machine within one epoch. */
export const MAX_FENCE_GENERATION = (FENCE_GENERATIONS_PER_EPOCH - 1) as FenceGeneration;

/** Combines an epoch and a machine's generation into a token. A later epoch's token is always greater. */
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

/** Parses the id of a task into the job id and the task index. Returns null if the id is malformed. */
export function parseTaskId(id: string): { job: JobId; index: TaskIndex } | null {
  const match = TASK_ID.exec(id);
  if (!match) return null;
  return { job: match[1] as JobId, index: Number(match[2]) as TaskIndex };
}
