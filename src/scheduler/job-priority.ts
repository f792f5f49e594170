/** A job's own priority and deadline, merged with those inherited from the jobs that depend on the job. */
import type { JobSpec, Priority } from '../model/job.js';
import type { WallTime } from '../model/time.js';

/** The strictest priority and deadline among a job's own and those of all its direct and transitive dependents. */
export interface InheritedPriority {
  /** The highest priority of the job and its dependents. */
  readonly priority: Priority;
  /**
   * The latest end of this job with which it and all its dependents meet their deadlines; null: none has a deadline.
   */
  readonly latestEnd: WallTime | null;
}

/** Holds a job's inherited priority, and derives the job's effective description from that priority. */
export class JobPriority {
  private inheritedPriority: InheritedPriority;
  private readyTime: WallTime;
  /** The effective description, built on first use and cleared by each change. */
  private cachedEffectiveSpec: JobSpec | null = null;

  constructor(
    private readonly spec: JobSpec,
    private readonly acceptedAt: WallTime,
  ) {
    this.readyTime = acceptedAt;
    this.inheritedPriority = { priority: spec.priority, latestEnd: this.ownDeadline };
  }

  /**
   * The time by which the job should be complete by its own deadline, which counts from the job's acceptance; null:
   * the job has no deadline.
   */
  get ownDeadline(): WallTime | null {
    const { deadlineS } = this.spec;
    return deadlineS === null ? null : ((this.acceptedAt + deadlineS * 1000) as WallTime);
  }

  /**
   * The time from which the waiting time and the class targets of the job count: its acceptance, or the time at which
   * this leader found its last dependency done. The job's own deadline counts from its acceptance instead.
   */
  get readyAt(): WallTime {
    return this.readyTime;
  }

  get inherited(): InheritedPriority {
    return this.inheritedPriority;
  }

  inherit(inherited: InheritedPriority): void {
    this.inheritedPriority = inherited;
    this.cachedEffectiveSpec = null;
  }

  markReady(now: WallTime): void {
    this.readyTime = now;
    this.cachedEffectiveSpec = null;
  }

  /** The job's description for placement and scale-out, with the inherited priority and deadline. */
  get effectiveSpec(): JobSpec {
    this.cachedEffectiveSpec ??= this.buildEffectiveSpec();
    return this.cachedEffectiveSpec;
  }

  private buildEffectiveSpec(): JobSpec {
    const { priority, latestEnd } = this.inheritedPriority;
    const isUnchanged =
      priority === this.spec.priority && latestEnd === this.ownDeadline && this.readyTime === this.acceptedAt;
    if (isUnchanged) return this.spec;
    const deadlineS = latestEnd === null ? null : (latestEnd - this.readyTime) / 1000;
    return { ...this.spec, priority, deadlineS };
  }
}
