/** Small types for names and numbers, so that one kind is never passed for another. */

declare const brand: unique symbol;
/** A value of type `T` that no other brand of it can be passed for. */
export type Branded<T, B extends string> = T & { readonly [brand]: B };

/** A controller. */
export type MemberId = Branded<string, 'MemberId'>;
/** A zone. */
export type ZoneId = Branded<string, 'ZoneId'>;
/** A team. */
export type TeamId = Branded<string, 'TeamId'>;
/** `j-000412` */
export type JobId = Branded<string, 'JobId'>;
/** A machine. */
export type MachineId = Branded<string, 'HostId'>;
/** A machine type. */
export type MachineTypeId = Branded<string, 'TypeId'>;
/** An image that tasks need. */
export type ImageId = Branded<string, 'ImageId'>;
/** Name of a rental request; never used for another. */
export type ScaleOutRequestId = Branded<string, 'RentalName'>;
/** Revision of a key of the state service; 0: the key does not exist. */
export type Revision = Branded<number, 'Revision'>;
/** A grant of the state service: what is bound to it goes when it isn't renewed. */
export type LeaseId = Branded<number, 'GrantId'>;
/** A leadership. Raised by every takeover. */
export type Epoch = Branded<number, 'Epoch'>;
/** What workers compare: the epoch, and within it a round of its own for each machine. */
export type FencingToken = Branded<number, 'Token'>;
/** A machine's own count within an epoch; see `FencingToken`. */
export type FenceGeneration = Branded<number, 'Round'>;
/** Number of a worker's session: each lease that ends begins another. */
export type AgentIncarnation = Branded<number, 'SessionNumber'>;
/** Number of a worker's message within its session. */
export type HeartbeatSequence = Branded<number, 'Counter'>;
/** Number of an attempt at a task. Never used twice. */
export type AttemptNumber = Branded<number, 'TryNo'>;
/** Number of a task within its job, from 0. */
export type TaskIndex = Branded<number, 'TaskIndex'>;
/** `j-000412/3` */
export type TaskId = Branded<string, 'TaskId'>;

export const NO_REVISION = 0 as Revision;

/** Rounds of one machine in one epoch: at two a second more than three months of one leadership. */
const FENCE_GENERATIONS_PER_EPOCH = 2 ** 24;
export const MAX_FENCE_GENERATION = (FENCE_GENERATIONS_PER_EPOCH - 1) as FenceGeneration;

export const fencingTokenOf = (epoch: Epoch, round: FenceGeneration): FencingToken =>
  (epoch * FENCE_GENERATIONS_PER_EPOCH + round) as FencingToken;
export const epochOfFencingToken = (token: FencingToken): Epoch =>
  Math.floor(token / FENCE_GENERATIONS_PER_EPOCH) as Epoch;

const JOB_ID = /^j-\d{1,20}$/;
const TASK_ID = /^(j-\d{1,20})\/(\d{1,9})$/;

/** Whether the text has the form of a job id. */
export function isJobId(text: string): text is JobId {
  return JOB_ID.test(text);
}

/** The id of a task. */
export function formatTaskId(job: JobId, index: TaskIndex): TaskId {
  return `${job}/${index}` as TaskId;
}

/** The job and index of a task id; null: it is none. */
export function parseTaskId(id: string): { job: JobId; index: TaskIndex } | null {
  const parts = TASK_ID.exec(id);
  if (!parts) return null;
  return { job: parts[1] as JobId, index: Number(parts[2]) as TaskIndex };
}
