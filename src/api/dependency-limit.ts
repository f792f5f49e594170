/** Bounds the number of dependencies of open jobs, which every controller holds in memory. */
import { getHeapStatistics } from 'node:v8';

/** The fraction of the memory that the dependencies of open jobs may take. */
const MAX_MEMORY_RATIO = 0.25;
/** What a leader needs for each dependency, in bytes, with what loading the records leaves behind. */
const BYTES_PER_DEPENDENCY = 160;
const BYTES_PER_MB = 1e6;
const RETRY_AFTER_S = 10;

/**
 * Returns how many dependencies all open jobs together may have, so that any controller can load them and lead.
 *
 * @param memoryMb The memory of the process in megabytes; null: only the heap limits it.
 */
export function maxDependencyCount(
  memoryMb: number | null,
  heapLimitBytes: number = getHeapStatistics().heap_size_limit,
): number {
  const memoryBytes = Math.min(heapLimitBytes, memoryMb === null ? Infinity : memoryMb * BYTES_PER_MB);
  return Math.floor((memoryBytes * MAX_MEMORY_RATIO) / BYTES_PER_DEPENDENCY);
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
