/** The tasks of one job that wait for a machine. */
import type { TaskIndex } from '../model/ids.js';

/**
 * Tasks to be retried, which go first, and those that were never started. The latter exist as a number only: a
 * hundred thousand of them cost nothing.
 */
export class TaskQueue {
  private readonly retries: TaskIndex[] = [];
  /** All tasks from this one on were never started. */
  private firstNeverStarted = 0;

  constructor(private readonly taskCount: number) {}

  get size(): number {
    return this.retries.length + (this.taskCount - this.firstNeverStarted);
  }

  /** Takes the next task. To be called only while there is one. */
  take(): TaskIndex {
    return this.retries.shift() ?? (this.firstNeverStarted++ as TaskIndex);
  }

  /** Queues a task whose attempt ended without success. */
  retry(index: TaskIndex): void {
    this.retries.push(index);
  }

  /** Restores the queue: all tasks from this one on were never started. */
  restoreNeverStarted(first: number): void {
    this.firstNeverStarted = first;
  }
}
