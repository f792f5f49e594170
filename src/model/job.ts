import type { ImageId, JobId, TeamId, MachineTypeId, ZoneId } from './ids.js';
import type { WallTime } from './time.js';

/** `array`: each task runs to its end. `service`: tasks run until the job is cancelled. */
export type JobKind = 'array' | 'service';

/** Higher goes first and may preempt lower. */
export enum Priority {
  Low = 0,
  Normal = 1,
  High = 2,
  Production = 3,
}

/** What a task takes, or a machine has. */
export interface Resources {
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

/** A job as its user described it. */
export interface JobSpec extends Resources {
  readonly id: JobId;
  readonly jobClass: string;
  readonly team: TeamId;
  readonly kind: JobKind;
  readonly priority: Priority;
  readonly taskCount: number;
  readonly image: ImageId;
  readonly imageGb: number;
  /** Allowed machine types; null: any. */
  readonly allowedTypes: readonly MachineTypeId[] | null;
  readonly zone: ZoneId | null;
  readonly zoneAffinity: boolean;
  readonly zoneAntiAffinity: boolean;
  readonly allowsSpot: boolean;
  readonly estimatedRunS: number;
  readonly checkpointIntervalS: number;
  readonly checkpointWriteS: number;
  readonly deadlineS: number | null;
  /** Jobs that have to be done before any task of this one starts: those that were not when it was accepted. */
  readonly dependencies: readonly JobId[];
  /** They are too many for one record: so many further records hold them. */
  readonly dependencyRecordCount: number;
  /** Its names are too long for one record: so many further records hold them. */
  readonly descriptionRecordCount: number;
}

/** States that never change. */
export type FinalState = 'done' | 'cancelled';
/** A job's durable state. */
export type JobState = 'accepted' | FinalState;

/** A job as its record tells of it. */
export interface JobRecord {
  readonly spec: JobSpec;
  readonly state: JobState;
  readonly acceptedAt: WallTime;
}

/** Whether the need fits into what is free. */
export function fits(need: Resources, free: Resources): boolean {
  const eps = 1e-9;
  return need.cpus <= free.cpus + eps && need.gpus <= free.gpus + eps && need.memoryGb <= free.memoryGb + eps;
}

/** Room that is being handed out. */
export interface FreeCapacity {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** Hands out room. */
export function allocate(room: FreeCapacity, need: Resources): void {
  room.cpus -= need.cpus;
  room.gpus -= need.gpus;
  room.memoryGb -= need.memoryGb;
}

/** Takes room back. */
export function release(room: FreeCapacity, back: Resources): void {
  room.cpus += back.cpus;
  room.gpus += back.gpus;
  room.memoryGb += back.memoryGb;
}
