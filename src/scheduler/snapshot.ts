/** The input and output of placement: a snapshot in, a plan out. */
import type { MachineId, ImageId, JobId, TaskId, TeamId, MachineTypeId, ZoneId } from '../model/ids.js';
import type { JobSpec, Priority, Resources, FreeCapacity } from '../model/job.js';
import type { Team } from '../model/team.js';
import type { WallTime } from '../model/time.js';
import type { TeamUsage } from './team-usage.js';

/** A machine that accepts tasks. */
export interface MachineView {
  readonly id: MachineId;
  readonly type: MachineTypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
  readonly cpus: number;
  /** A copy: placement takes from it as it goes. */
  readonly free: FreeCapacity;
  /** The images in its cache. */
  readonly images: { has(image: ImageId): boolean };
  /** Whether commands reach it directly. */
  readonly isReachable: boolean;
}

/** A running task, as a candidate for preemption. */
export interface Victim extends Resources {
  readonly task: TaskId;
  readonly job: JobId;
  readonly team: TeamId;
  readonly priority: Priority;
  /** The run time since its last checkpoint, which preemption would lose. */
  readonly lostMs: number;
}

/** A job with waiting tasks. */
export interface JobView {
  readonly spec: JobSpec;
  /** From when it could have started (`ActiveJob.readyAt`). */
  readonly readyAt: WallTime;
  /** How long ago that is. */
  readonly waitedMs: number;
  waitingCount: number;
  /** Tasks that may be on a machine, by zone. */
  readonly zones: Map<ZoneId, number>;
  readonly avoidedMachines: ReadonlySet<MachineId>;
  /** None of its tasks may start: its zones are unknown, or it backs off after failures. */
  readonly isHeldBack: boolean;
  /** How long it may still wait (`SloTargets`); null: no target is left. */
  readonly slackMs: number | null;
  /** Whether it has waited so long without a start that it goes before all but production work. */
  readonly isStarving: boolean;
}

/** A task of the job is to start on the machine. */
interface TaskStart {
  readonly job: JobId;
  readonly machine: MachineId;
}

/** A task is to be stopped for another job. */
export interface Preemption {
  readonly machine: MachineId;
  readonly task: TaskId;
  /** The job that gets its place. */
  readonly preemptor: JobId;
}

/** Waiting tasks of a job that could not be placed. */
interface UnmetDemand {
  readonly job: JobView;
  readonly tasks: number;
}

/** The decisions of one round of placement. */
export interface PlacementPlan {
  readonly starts: TaskStart[];
  readonly preemptions: Preemption[];
  /** In queue order. */
  readonly unmet: UnmetDemand[];
}

/** Everything that one round of placement depends on. */
export interface PlacementSnapshot {
  /** Jobs with waiting tasks. */
  readonly jobs: readonly JobView[];
  /** Machines that accept tasks: each is tried only while it has free capacity. */
  readonly machines: readonly MachineView[];
  /** Every unfinished job that fits into its team's guaranteed quota (`guaranteedJobs`). */
  readonly guaranteed: ReadonlySet<JobId>;
  readonly teams: ReadonlyMap<TeamId, Team>;
  readonly teamUsage: ReadonlyMap<TeamId, TeamUsage>;
  /** The tasks of a machine that could be preempted, least loss first. Called only where preemption is allowed. */
  victimsOf(id: MachineId): Victim[];
}
