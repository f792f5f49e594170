/** What placement looks at, and what it comes to: a snapshot in, a plan out. */
import type { MachineId, ImageId, JobId, TaskId, TeamId, MachineTypeId, ZoneId } from '../model/ids.js';
import type { JobSpec, Priority, Resources, FreeCapacity } from '../model/job.js';
import type { Team } from '../model/team.js';
import type { WallTime } from '../model/time.js';
import type { TeamUsage } from './team-usage.js';

/** A machine that takes work. */
export interface MachineView {
  readonly id: MachineId;
  readonly type: MachineTypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
  readonly cpus: number;
  readonly free: FreeCapacity;
  readonly images: { has(image: ImageId): boolean };
  /** Orders reach it directly. */
  readonly isReachable: boolean;
}

/** A task on a machine, as a candidate to be stopped. */
export interface Victim extends Resources {
  readonly task: TaskId;
  readonly job: JobId;
  readonly team: TeamId;
  readonly priority: Priority;
  /** Work that stopping it would lose. */
  readonly lostMs: number;
}

/** A job with waiting tasks. */
export interface JobView {
  readonly spec: JobSpec;
  /** From when it could have started. */
  readonly readyAt: WallTime;
  /** How long ago that is. */
  readonly waitedMs: number;
  waitingCount: number;
  /** Tasks that may be on a machine, by zone. */
  readonly zones: Map<ZoneId, number>;
  readonly avoidedMachines: ReadonlySet<MachineId>;
  readonly isHeldBack: boolean;
  /** How long it may still wait; null: no target is left. */
  readonly slackMs: number | null;
  /** It has waited so long without a start that it goes before all but production work. */
  readonly isStarving: boolean;
}

/** A task of the job is to start on the host. */
interface Start {
  readonly job: JobId;
  readonly machine: MachineId;
}

/** A task is to be stopped to make room. */
export interface Preemption {
  readonly machine: MachineId;
  readonly task: TaskId;
  /** The job that room is made for. */
  readonly preemptor: JobId;
}

/** What one decision comes to. */
export interface PlacementPlan {
  readonly starts: Start[];
  readonly preemptions: Preemption[];
  /** Waiting jobs that found no room, with how many tasks each, in queue order. */
  readonly unmet: { job: JobView; tasks: number }[];
}

/** What a decision looks at. */
export interface PlacementSnapshot {
  /** Jobs with tasks that wait. */
  readonly jobs: readonly JobView[];
  /** Machines that take work: each is looked at only while it has room. */
  readonly machines: readonly MachineView[];
  /** Every unfinished job that fits into its team's guarantee (`guaranteedJobs`). */
  readonly guaranteed: ReadonlySet<JobId>;
  readonly teams: ReadonlyMap<TeamId, Team>;
  readonly teamUsage: ReadonlyMap<TeamId, TeamUsage>;
  /** Tasks of a machine that could be stopped, cheapest loss first. Asked only to make room. */
  victimsOf(id: MachineId): Victim[];
}
