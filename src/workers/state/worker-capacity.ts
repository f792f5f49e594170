import { allocate, type FreeCapacity, type Resources } from '../../model/job.js';
import type { Task } from '../../scheduler/task.js';

/** The tasks that may be on a machine, and the resources that they leave free. */
export class WorkerCapacity {
  private readonly assignedTasks = new Set<Task>();
  /** Computed on demand; null: a task or the total has changed since. */
  private cachedFree: FreeCapacity | null = null;

  constructor(private total: Resources) {}

  get tasks(): ReadonlySet<Task> {
    return this.assignedTasks;
  }

  /** What the tasks leave of the machine; negative where they need more than it has. */
  get free(): Readonly<FreeCapacity> {
    if (this.cachedFree) return this.cachedFree;
    const { cpus, gpus, memoryGb } = this.total;
    const free = { cpus, gpus, memoryGb };
    for (const task of this.assignedTasks) allocate(free, task.job.spec);
    this.cachedFree = free;
    return free;
  }

  setTotal(total: Resources): void {
    this.total = total;
    this.cachedFree = null;
  }

  add(task: Task): void {
    this.assignedTasks.add(task);
    this.cachedFree = null;
  }

  remove(task: Task): void {
    this.assignedTasks.delete(task);
    this.cachedFree = null;
  }
}
