/**
 * Merges what a job's records of several chunk sizes say of one task.
 *
 * Neither the size nor the revision of a record decides by itself. A smaller record was mostly made of a larger one, so
 * it is newer; but a write of the larger one that was under way may be applied after it, and a leader of an earlier
 * version may go back to larger ones. What decides is the life of a task, which only moves forward: attempts are
 * numbered upwards, an attempt is placed before it is gone, and done is final.
 *
 * One case is left in which a record moved a task back: a leader of an earlier version believed a small, older record,
 * and wrote small ones itself. Then both leaders' attempts may be running (`MergedProgress.unproven`).
 */
import type { AttemptNumber, Revision } from '../model/ids.js';
import type { TaskPlacement } from '../store/progress-record.js';

/** The progress of one task that was begun. `waiting`: its last attempt is gone. */
export type TaskProgress =
  | { readonly kind: 'done' }
  | { readonly kind: 'placed'; readonly placement: TaskPlacement }
  | { readonly kind: 'waiting'; readonly attemptNumber: AttemptNumber };

/** The progress of a task that is not done. */
export type UnfinishedProgress = Exclude<TaskProgress, { readonly kind: 'done' }>;

/** What one record says of a task. */
export interface ProgressClaim {
  readonly progress: TaskProgress;
  /** Of the record. */
  readonly chunkSize: number;
  /** Of the record. */
  readonly revision: Revision;
}

/** What all records together say of a task. */
export interface MergedProgress {
  readonly progress: TaskProgress;
  /** Further placements that may be running, the latest first: each has to be proven gone before `progress` counts. */
  readonly unproven: readonly TaskPlacement[];
}

const PHASE_ORDER = { placed: 0, waiting: 1, done: 2 } as const;

function attemptOf(progress: TaskProgress): number {
  switch (progress.kind) {
    case 'done':
      return Infinity;
    case 'placed':
      return progress.placement.attemptNumber;
    case 'waiting':
      return progress.attemptNumber;
  }
}

/** Compares by the order in which a task goes through its states: positive if `one` comes after `other`. */
function compareByLife(one: TaskProgress, other: TaskProgress): number {
  const attempts = attemptOf(one) - attemptOf(other);
  // Infinity less itself is no number: both are done.
  if (Number.isNaN(attempts)) return 0;
  return attempts || PHASE_ORDER[one.kind] - PHASE_ORDER[other.kind];
}

/** Whether both say the same of a task. */
export function isSameProgress(one: TaskProgress, other: TaskProgress): boolean {
  if (compareByLife(one, other) !== 0) return false;
  if (one.kind !== 'placed' || other.kind !== 'placed') return true;
  return one.placement.machine === other.placement.machine;
}

/** The claim furthest on; of equal ones the oldest, so that a later one on another machine is proven gone first. */
function furthestOf(claims: readonly ProgressClaim[]): ProgressClaim {
  return claims.reduce((best, claim) => {
    const order = compareByLife(claim.progress, best.progress);
    return order > 0 || (order === 0 && claim.revision < best.revision) ? claim : best;
  });
}

/**
 * Whether a placement that is not the furthest claim may be running all the same. Its number was given out twice, or
 * its record is smaller and newer than the furthest one, whose leader did not know of it. A newer larger record that
 * lags behind a smaller one is a late write of the leader that wrote both.
 */
function mayBeRunning({ progress, chunkSize, revision }: ProgressClaim, furthest: ProgressClaim): boolean {
  if (compareByLife(progress, furthest.progress) === 0) return true;
  return revision > furthest.revision && chunkSize < furthest.chunkSize;
}

/** Merges all claims on one task, in any order. There is at least one. */
export function mergeClaims(claims: readonly ProgressClaim[]): MergedProgress {
  const furthest = furthestOf(claims);
  const { progress } = furthest;
  // What is done is not started again, so that nothing has to be proven of it.
  if (progress.kind === 'done') return { progress, unproven: [] };
  const latestFirst = [...claims].sort((one, other) => other.revision - one.revision);
  const found: TaskProgress[] = [progress];
  const unproven: TaskPlacement[] = [];
  for (const claim of latestFirst) {
    if (claim.progress.kind !== 'placed' || !mayBeRunning(claim, furthest)) continue;
    if (found.some((known) => isSameProgress(known, claim.progress))) continue;
    found.push(claim.progress);
    unproven.push(claim.progress.placement);
  }
  return { progress, unproven };
}
