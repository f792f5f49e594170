/** The input (`PlacementSnapshot`) and output (`PlacementPlan`) of a placement round. */
import type { MachineId, ImageId, JobId, TaskId, TeamId, MachineTypeId, ZoneId } from '../model/ids.js';
import type { JobSpec, Priority, Resources, FreeCapacity } from '../model/job.js';
import type { Team } from '../model/team.js';
import type { WallTime } from '../model/time.js';
import type { TeamUsage } from './team-usage.js';

/** A machine that accepts tasks, as input to placement. */
export interface MachineView {
  readonly id: MachineId;
  readonly type: MachineTypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
  readonly cpus: number;
  /** A copy of the machine's free capacity, which placement updates by the tasks that it starts and preempts. */
  readonly free: FreeCapacity;
  /** The images in the machine's cache. */
  readonly images: { has(image: ImageId): boolean };
  /** Whether the leader's last direct call to the machine's agent did not fail, or none was made. */
  readonly isReachable: boolean;
}

/** A placed task that is a candidate for preemption. */
export interface Victim extends Resources {
  readonly task: TaskId;
  readonly job: JobId;
  readonly team: TeamId;
  readonly priority: Priority;
  /**
   * The run time that preemption would lose, in milliseconds: at most one checkpoint interval, or the whole run time if
   * the task writes no checkpoints.
   */
  readonly lostMs: number;
}

/** A job with waiting tasks, as input to placement. */
export interface JobView {
  readonly spec: JobSpec;
  /** The time at which the job became ready to start (`ActiveJob.readyAt`). */
  readonly readyAt: WallTime;
  /** The time since `readyAt`, in milliseconds. */
  readonly waitedMs: number;
  waitingCount: number;
  /**
   * The number of the job's tasks that may be on machines, by zone. Empty at the start of a round if the job has no
   * zone constraint.
   */
  readonly zones: Map<ZoneId, number>;
  /** Machines on which no task of the job may start for now. */
  readonly avoidedMachines: ReadonlySet<MachineId>;
  /** Machines on which a task of the job has failed; others with room are preferred. */
  readonly failedMachines: Pick<ReadonlySet<MachineId>, 'has' | 'size'>;
  /** The number of the job's failed attempts (`JobFailures.failureCount`). */
  readonly failureCount: number;
  /**
   * Whether none of the job's tasks may start for now: zones that its placement rule depends on are unknown, or the job
   * backs off after failures.
   */
  readonly isDeferred: boolean;
  /** How long the job may still wait, in milliseconds (`SloTargets`); null: no target is left. */
  readonly slackMs: number | null;
  /**
   * Whether the job has waited past the starvation threshold without a placement (`isStarving`), and is therefore
   * served before all but production work.
   */
  readonly isStarving: boolean;
}

/** A decision to start one task of a job on a machine. */
interface TaskStart {
  readonly job: JobId;
  readonly machine: MachineId;
}

/** A decision to stop a task so that a task of another job can start on its machine. */
export interface Preemption {
  readonly machine: MachineId;
  readonly task: TaskId;
  /** The job for which the task is stopped. */
  readonly preemptor: JobId;
}

/** The number of a job's waiting tasks that could not be placed, without those beyond its team's quota limit. */
interface UnmetDemand {
  readonly job: JobView;
  tasks: number;
}

/** The decisions of one placement round. */
export interface PlacementPlan {
  readonly starts: TaskStart[];
  readonly preemptions: Preemption[];
  /** Demand that could not be placed, in queue order. */
  unmet: UnmetDemand[];
}

/** The complete input of one placement round. */
export interface PlacementSnapshot {
  /** The jobs with waiting tasks, in any order. */
  readonly jobs: readonly JobView[];
  /** The machines that accept tasks. A machine without free capacity is considered for preemption only. */
  readonly machines: readonly MachineView[];
  /**
   * Machines in quarantine after failures that accept one trial task each (`FailureQuarantine`). They are used only for
   * tasks that have no room elsewhere.
   */
  readonly trialMachines: readonly MachineView[];
  /**
   * The jobs that fit into their team's guaranteed quota (`guaranteedJobs`), of those that are neither blocked,
   * cancelled nor complete.
   */
  readonly guaranteed: ReadonlySet<JobId>;
  readonly teams: ReadonlyMap<TeamId, Team>;
  readonly teamUsage: ReadonlyMap<TeamId, TeamUsage>;
  /**
   * Returns the tasks of a machine that could be preempted, lowest priority first, then least loss. Called only if
   * preemption is allowed.
   */
  victimsOf(id: MachineId): Victim[];
}
