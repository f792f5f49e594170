/** The queue of one job's tasks that wait for placement. */
import type { TaskIndex } from '../model/ids.js';

/**
 * Holds the tasks to be retried, which are served first, and the tasks that were never started. The latter are stored
 * as a single index, so that 100,000 of them need no memory of their own.
 */
export class TaskQueue {
  private readonly retries: TaskIndex[] = [];
  /** The index from which on all tasks were never started. */
  private firstNeverStarted = 0;

  constructor(private readonly taskCount: number) {}

  get size(): number {
    return this.retries.length + (this.taskCount - this.firstNeverStarted);
  }

  /** Removes and returns the next task. May be called only if `size` is above 0. */
  dequeue(): TaskIndex {
    return this.retries.shift() ?? (this.firstNeverStarted++ as TaskIndex);
  }

  /**
   * Adds a task whose attempt ended without success, or, when the queue is restored, a task below the index of
   * `restoreNeverStarted` that is neither done nor placed.
   */
  enqueueRetry(index: TaskIndex): void {
    this.retries.push(index);
  }

  /** Sets the index from which on all tasks were never started, when the queue is restored from stored progress. */
  restoreNeverStarted(first: number): void {
    this.firstNeverStarted = first;
  }
}
