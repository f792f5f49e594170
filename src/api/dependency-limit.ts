/** Bounds the number of dependencies of open jobs, which every controller holds in memory. */
import { getHeapStatistics } from 'node:v8';

/** The fraction of the heap that the dependencies of open jobs may take. */
const MAX_HEAP_RATIO = 0.25;
/** What a leader holds for each dependency, in bytes. */
const BYTES_PER_DEPENDENCY = 80;
const RETRY_AFTER_S = 10;

/** Returns how many dependencies all open jobs together may have: a leader must be able to load them with its heap. */
export function maxDependencyCount(heapLimitBytes: number = getHeapStatistics().heap_size_limit): number {
  return Math.floor((heapLimitBytes * MAX_HEAP_RATIO) / BYTES_PER_DEPENDENCY);
}

/** Thrown for a submission with which the open jobs would have too many dependencies in all. */
export class DependencyLimitError extends Error {
  override readonly name = 'DependencyLimitError';
  readonly code = 'DEPENDENCY_LIMIT';
  readonly retryAfterS = RETRY_AFTER_S;

  constructor() {
    super('the open jobs depend on too many jobs in all; retry later');
  }
}
