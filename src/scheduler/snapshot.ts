/** What placement looks at, and what it comes to: a snapshot in, a plan out. */
import type { HostId, ImageId, JobId, TaskId, TeamId, TypeId, ZoneId } from '../model/ids.js';
import type { JobSpec, Priority, Resources, Room } from '../model/job.js';
import type { Team } from '../model/team.js';
import type { WallTime } from '../model/time.js';
import type { TeamUse } from './job-store.js';

/** A machine that takes work. */
export interface MachineView {
  readonly id: HostId;
  readonly type: TypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
  readonly cpus: number;
  readonly free: Room;
  readonly images: { has(image: ImageId): boolean };
  /** Orders reach it directly. */
  readonly reachable: boolean;
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
  waiting: number;
  /** Tasks that may be on a machine, by zone. */
  readonly zones: Map<ZoneId, number>;
  readonly avoid: ReadonlySet<HostId>;
  readonly heldBack: boolean;
  /** How long it may still wait; null: no target is left. */
  readonly slackMs: number | null;
  /** It has waited so long without a start that it goes before all but production work. */
  readonly starving: boolean;
}

/** A task of the job is to start on the host. */
interface Start {
  readonly job: JobId;
  readonly host: HostId;
}

/** A task is to be stopped to make room. */
export interface Stop {
  readonly host: HostId;
  readonly task: TaskId;
  /** The job that room is made for. */
  readonly for: JobId;
}

/** What one decision comes to. */
export interface Plan {
  readonly starts: Start[];
  readonly stops: Stop[];
  /** Waiting jobs that found no room, with how many tasks each, in queue order. */
  readonly unmet: { job: JobView; tasks: number }[];
}

/** What a decision looks at. */
export interface Snapshot {
  /** Jobs with tasks that wait. */
  readonly jobs: readonly JobView[];
  /** Machines that take work: each is looked at only while it has room. */
  readonly machines: readonly MachineView[];
  /** Every unfinished job that fits into its team's guarantee (`guaranteedJobs`). */
  readonly guaranteed: ReadonlySet<JobId>;
  readonly teams: ReadonlyMap<TeamId, Team>;
  readonly use: ReadonlyMap<TeamId, TeamUse>;
  /** Tasks of a machine that could be stopped, cheapest loss first. Asked only to make room. */
  victimsOf(id: HostId): Victim[];
}
