/** The priority and deadline of a job, its own and those that it inherits from the jobs that depend on it. */
import type { JobSpec, Priority } from '../model/job.js';
import type { WallTime } from '../model/time.js';

/** What a job inherits from all jobs that depend on it, directly or not, and its own where that is stricter. */
export interface InheritedPriority {
  /** The highest priority of them. */
  readonly priority: Priority;
  /** The latest end of this job that lets all of them be in time; null: none of them has a deadline. */
  readonly latestEnd: WallTime | null;
}

/** Keeps a job's inherited priority, and its description as it follows from that. */
export class JobPriority {
  private inheritedPriority: InheritedPriority;
  private readySince: WallTime;
  /** Made when it is first asked for, and again after a change. */
  private cachedSpec: JobSpec | null = null;

  constructor(
    private readonly spec: JobSpec,
    private readonly acceptedAt: WallTime,
  ) {
    this.readySince = acceptedAt;
    this.inheritedPriority = { priority: spec.priority, latestEnd: this.ownDeadline };
  }

  /** When the job should be complete by its own deadline, which counts from its submission. */
  get ownDeadline(): WallTime | null {
    const { deadlineS } = this.spec;
    return deadlineS === null ? null : ((this.acceptedAt + deadlineS * 1000) as WallTime);
  }

  /** From when the job's times count, deadlines aside: its acceptance, or the end of its last dependency. */
  get readyAt(): WallTime {
    return this.readySince;
  }

  get inherited(): InheritedPriority {
    return this.inheritedPriority;
  }

  inherit(inherited: InheritedPriority): void {
    this.inheritedPriority = inherited;
    this.cachedSpec = null;
  }

  markReady(now: WallTime): void {
    this.readySince = now;
    this.cachedSpec = null;
  }

  /** The description as placement and scale-out see it: with the inherited priority and deadline. */
  get effectiveSpec(): JobSpec {
    this.cachedSpec ??= this.makeEffectiveSpec();
    return this.cachedSpec;
  }

  private makeEffectiveSpec(): JobSpec {
    const { priority, latestEnd } = this.inheritedPriority;
    const isOwn =
      priority === this.spec.priority &&
      latestEnd === this.ownDeadline &&
      this.readySince === this.acceptedAt;
    if (isOwn) return this.spec;
    const deadlineS = latestEnd === null ? null : (latestEnd - this.readySince) / 1000;
    return { ...this.spec, priority, deadlineS };
  }
}
