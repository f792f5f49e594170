import { allocate, type FreeCapacity, type Resources } from '../../model/job.js';
import type { Task } from '../../scheduler/task.js';

/** The tasks that may be on a machine, and the resources left free by these tasks. */
export class WorkerCapacity {
  private readonly assignedTasks = new Set<Task>();
  /** The free resources, computed on demand; null after a change of the tasks or of the total resources. */
  private cachedFree: FreeCapacity | null = null;

  constructor(private totalResources: Resources) {}

  get tasks(): ReadonlySet<Task> {
    return this.assignedTasks;
  }

  /** The resources that the tasks leave free; negative where the tasks need more than the machine has. */
  get free(): Readonly<FreeCapacity> {
    if (this.cachedFree) return this.cachedFree;
    const { cpus, gpus, memoryGb } = this.totalResources;
    const free = { cpus, gpus, memoryGb };
    for (const task of this.assignedTasks) allocate(free, task.job.spec);
    this.cachedFree = free;
    return free;
  }

  setTotal(total: Resources): void {
    this.totalResources = total;
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
