/** Small types for names and numbers, so that one kind is never passed for another. */

declare const brand: unique symbol;
export type Branded<T, B extends string> = T & { readonly [brand]: B };

export type MemberId = Branded<string, 'MemberId'>;
export type ZoneId = Branded<string, 'ZoneId'>;
export type TeamId = Branded<string, 'TeamId'>;
export type JobId = Branded<string, 'JobId'>;
export type HostId = Branded<string, 'HostId'>;
export type TypeId = Branded<string, 'TypeId'>;
export type ImageId = Branded<string, 'ImageId'>;
export type RentalName = Branded<string, 'RentalName'>;
/** Revision of a key of the state service; 0: the key does not exist. */
export type Revision = Branded<number, 'Revision'>;
export type GrantId = Branded<number, 'GrantId'>;
/** A leadership. Raised by every takeover. */
export type Epoch = Branded<number, 'Epoch'>;
/** What workers compare: the epoch, and within it a round of its own for each machine. */
export type Token = Branded<number, 'Token'>;
export type Round = Branded<number, 'Round'>;
export type SessionNumber = Branded<number, 'SessionNumber'>;
export type Counter = Branded<number, 'Counter'>;
/** Number of an attempt at a task. Never used twice. */
export type TryNo = Branded<number, 'TryNo'>;
export type TaskIndex = Branded<number, 'TaskIndex'>;
/** `j-000412/3` */
export type TaskId = Branded<string, 'TaskId'>;

export const NO_REVISION = 0 as Revision;

/** Rounds of one machine in one epoch: at two a second more than three months of one leadership. */
const ROUNDS = 2 ** 24;
export const LAST_ROUND = (ROUNDS - 1) as Round;

export const tokenOf = (epoch: Epoch, round: Round): Token => (epoch * ROUNDS + round) as Token;
export const epochOfToken = (token: Token): Epoch => Math.floor(token / ROUNDS) as Epoch;

const JOB_ID = /^j-\d{1,20}$/;
const TASK_ID = /^(j-\d{1,20})\/(\d{1,9})$/;

export function isJobId(text: string): text is JobId {
  return JOB_ID.test(text);
}

export function taskId(job: JobId, index: TaskIndex): TaskId {
  return `${job}/${index}` as TaskId;
}

export function splitTaskId(id: string): { job: JobId; index: TaskIndex } | null {
  const parts = TASK_ID.exec(id);
  if (!parts) return null;
  return { job: parts[1] as JobId, index: Number(parts[2]) as TaskIndex };
}
