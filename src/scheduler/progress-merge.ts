/**
 * Merges the progress of one task from a job's records of several chunk sizes.
 *
 * Neither the size nor the revision of a record alone decides which record is right. A smaller record was usually made
 * from a larger one, and is then newer. But a delayed write of the larger record may be applied after the smaller one,
 * and a leader of an earlier version may return to larger records. The merge relies on the lifecycle of a task, which
 * only moves forward: attempt numbers increase, an attempt is placed before it is gone, and done is final.
 *
 * In one case a record moves a task backward: a leader of an earlier version believed a smaller, older record, and
 * wrote small records from that state. The attempts of both leaders may then be running (`MergedProgress.unproven`).
 */
import type { AttemptNumber, Revision } from '../model/ids.js';
import type { TaskPlacement } from '../store/progress-record.js';

/** The progress of a task with at least one attempt. `waiting`: the last attempt is gone without success. */
export type TaskProgress =
  | { readonly kind: 'done' }
  | { readonly kind: 'placed'; readonly placement: TaskPlacement }
  | { readonly kind: 'waiting'; readonly attemptNumber: AttemptNumber };

/** The progress of a task that is placed or waiting. */
export type UnfinishedProgress = Exclude<TaskProgress, { readonly kind: 'done' }>;

/** The progress of a task according to one record. */
export interface ProgressClaim {
  readonly progress: TaskProgress;
  /** The chunk size of the record. */
  readonly chunkSize: number;
  /** The revision of the record. */
  readonly revision: Revision;
}

/** The progress of a task merged from all records that list the task. */
export interface MergedProgress {
  readonly progress: TaskProgress;
  /**
   * Further placements that may be running, latest record first. Each has to be proven gone before `progress` applies.
   */
  readonly unproven: readonly TaskPlacement[];
}

const LIFECYCLE_ORDER = { placed: 0, waiting: 1, done: 2 } as const;

function attemptRank(progress: TaskProgress): number {
  switch (progress.kind) {
    case 'done':
      return Infinity;
    case 'placed':
      return progress.placement.attemptNumber;
    case 'waiting':
      return progress.attemptNumber;
  }
}

/** Compares two states of a task by their order in the task's lifecycle; positive: `left` comes after `right`. */
function compareByLifecycle(left: TaskProgress, right: TaskProgress): number {
  const attempts = attemptRank(left) - attemptRank(right);
  // The difference of two infinite ranks is NaN: the task is done in both states.
  if (Number.isNaN(attempts)) return 0;
  return attempts || LIFECYCLE_ORDER[left.kind] - LIFECYCLE_ORDER[right.kind];
}

/** Whether two states of a task are equal, including the machine of a placed task. */
export function isSameProgress(left: TaskProgress, right: TaskProgress): boolean {
  if (compareByLifecycle(left, right) !== 0) return false;
  if (left.kind !== 'placed' || right.kind !== 'placed') return true;
  return left.placement.machine === right.placement.machine;
}

/**
 * Returns the most advanced claim. Among equal claims the oldest wins, so that a newer placement on another machine
 * becomes an unproven placement, which has to be proven gone first.
 */
function mostAdvancedClaim(claims: readonly ProgressClaim[]): ProgressClaim {
  return claims.reduce((best, claim) => {
    const order = compareByLifecycle(claim.progress, best.progress);
    return order > 0 || (order === 0 && claim.revision < best.revision) ? claim : best;
  });
}

/**
 * Whether a placement other than the most advanced claim may be running. Either its attempt number was assigned twice,
 * or its record is both smaller and newer than that of the most advanced claim, so that its leader did not know of that
 * claim. A larger record that is newer than a smaller one but less advanced is a delayed write of the leader that wrote
 * both.
 */
function mayBeRunning(
  { progress, chunkSize, revision }: ProgressClaim,
  mostAdvanced: ProgressClaim,
): boolean {
  if (compareByLifecycle(progress, mostAdvanced.progress) === 0) return true;
  return revision > mostAdvanced.revision && chunkSize < mostAdvanced.chunkSize;
}

/** Merges all claims on one task, given in any order. `claims` has to contain at least one claim. */
export function mergeClaims(claims: readonly ProgressClaim[]): MergedProgress {
  const mostAdvanced = mostAdvancedClaim(claims);
  const { progress } = mostAdvanced;
  // A done task is never started again, so no other placement has to be proven gone.
  if (progress.kind === 'done') return { progress, unproven: [] };
  const latestFirst = [...claims].sort((left, right) => right.revision - left.revision);
  const distinctProgress: TaskProgress[] = [progress];
  const unproven: TaskPlacement[] = [];
  for (const claim of latestFirst) {
    if (claim.progress.kind !== 'placed' || !mayBeRunning(claim, mostAdvanced)) continue;
    if (distinctProgress.some((previous) => isSameProgress(previous, claim.progress))) continue;
    distinctProgress.push(claim.progress);
    unproven.push(claim.progress.placement);
  }
  return { progress, unproven };
}
