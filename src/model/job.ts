/** Jobs as submitted by users, and arithmetic on the resources that their tasks request. */
import type { ImageId, JobId, MachineTypeId, TeamId, ZoneId } from './ids.js';
import type { WallTime } from './time.js';

/** Kind of a job. `array`: tasks that run to completion. `service`: replicas that run until the job is cancelled. */
export type JobKind = 'array' | 'service';

/** A job's priority. Jobs of higher priority are placed first and may preempt jobs of lower priority. */
export enum Priority {
  Low = 0,
  Normal = 1,
  High = 2,
  Production = 3,
}

/** Resources that a task requests or a machine provides. */
export interface Resources {
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

/** Description of a job, as submitted by a user. */
export interface JobSpec extends Resources {
  readonly id: JobId;
  /** Job class, to which service-level objectives refer. */
  readonly jobClass: string;
  readonly team: TeamId;
  readonly kind: JobKind;
  readonly priority: Priority;
  readonly taskCount: number;
  readonly image: ImageId;
  readonly imageGb: number;
  /** Machine types on which the job may run; null for any type. */
  readonly allowedTypes: readonly MachineTypeId[] | null;
  /** Zone in which the job has to run; null for any zone. */
  readonly zone: ZoneId | null;
  /** Whether all tasks have to run in one zone. */
  readonly zoneAffinity: boolean;
  /** Whether at most half of the tasks, rounded up, may run in one zone. */
  readonly zoneAntiAffinity: boolean;
  /** Whether the tasks may run on spot machines. */
  readonly allowsSpot: boolean;
  /** The user's estimate of a task's run time; 0 for services. */
  readonly estimatedRunS: number;
  /** Interval at which a task writes checkpoints; 0 if the task writes none. */
  readonly checkpointIntervalS: number;
  /** Time that a task needs to write a checkpoint when the task is stopped. */
  readonly checkpointWriteS: number;
  /** Time from submission by which the job should be done; null without a deadline. */
  readonly deadlineS: number | null;
  /** DAG dependencies: jobs to be done before any task starts, without jobs already done when this job was accepted. */
  readonly dependencies: readonly JobId[];
  /** Number of overflow records that hold the dependencies; 0 if the dependencies fit the job's record. */
  readonly dependencyRecordCount: number;
  /** Number of overflow records that hold the description's names; 0 if the names fit the job's record. */
  readonly descriptionRecordCount: number;
}

/** Terminal states of a job. */
export type FinalState = 'done' | 'cancelled';
/** State of a job as stored in the job's record. */
export type JobState = 'accepted' | FinalState;

/** Decoded content of a job's record in the key-value store. */
export interface JobRecord {
  readonly spec: JobSpec;
  readonly state: JobState;
  readonly acceptedAt: WallTime;
}

/** Tolerance for rounding errors in sums of fractional CPUs. */
const RESOURCE_EPSILON = 1e-9;

/** Reports whether the free resources cover the request. */
export function fits(request: Resources, free: Resources): boolean {
  return (
    request.cpus <= free.cpus + RESOURCE_EPSILON &&
    request.gpus <= free.gpus + RESOURCE_EPSILON &&
    request.memoryGb <= free.memoryGb + RESOURCE_EPSILON
  );
}

/** Free resources, which `allocate` and `release` update in place. */
export interface FreeCapacity {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** Subtracts the requested resources from the free capacity. */
export function allocate(free: FreeCapacity, request: Resources): void {
  free.cpus -= request.cpus;
  free.gpus -= request.gpus;
  free.memoryGb -= request.memoryGb;
}

/** Adds the returned resources to the free capacity. */
export function release(free: FreeCapacity, returned: Resources): void {
  free.cpus += returned.cpus;
  free.gpus += returned.gpus;
  free.memoryGb += returned.memoryGb;
}
