/** Jobs as users describe them, and the resources that their tasks take. */
import type { ImageId, JobId, MachineTypeId, TeamId, ZoneId } from './ids.js';
import type { WallTime } from './time.js';

/** `array`: a job array, each task of which runs to its end. `service`: replicas that run until the job is cancelled. */
export type JobKind = 'array' | 'service';

/** A job's priority: higher goes first and may preempt lower. */
export enum Priority {
  Low = 0,
  Normal = 1,
  High = 2,
  Production = 3,
}

/** What a task requests, or a machine has. */
export interface Resources {
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

/** A job as its user submitted it. */
export interface JobSpec extends Resources {
  readonly id: JobId;
  /** The class that service-level objectives refer to. */
  readonly jobClass: string;
  readonly team: TeamId;
  readonly kind: JobKind;
  readonly priority: Priority;
  readonly taskCount: number;
  readonly image: ImageId;
  readonly imageGb: number;
  /** Machine types that the job may use; null: any. */
  readonly allowedTypes: readonly MachineTypeId[] | null;
  /** The zone that the job has to run in; null: any. */
  readonly zone: ZoneId | null;
  /** All tasks have to run in one zone. */
  readonly zoneAffinity: boolean;
  /** At most half of the tasks may run in one zone. */
  readonly zoneAntiAffinity: boolean;
  /** Whether the tasks may run on spot machines. */
  readonly allowsSpot: boolean;
  /** The owner's estimate of a task's run time; 0 for services. */
  readonly estimatedRunS: number;
  /** A task writes a checkpoint this often; 0: never. */
  readonly checkpointIntervalS: number;
  /** What writing a checkpoint takes when the task is stopped. */
  readonly checkpointWriteS: number;
  /** By when the job should have ended, counted from its submission; null: no deadline. */
  readonly deadlineS: number | null;
  /** DAG dependencies: jobs that have to be done before any task starts, less those done when the job was accepted. */
  readonly dependencies: readonly JobId[];
  /** Number of further records that hold the dependencies, where they are too many for the job's record; else 0. */
  readonly dependencyRecordCount: number;
  /** Number of further records that hold the names, where they are too long for the job's record; else 0. */
  readonly descriptionRecordCount: number;
}

/** States that never change. */
export type FinalState = 'done' | 'cancelled';
/** A job's durable state. */
export type JobState = 'accepted' | FinalState;

/** A job as its record in the store describes it. */
export interface JobRecord {
  readonly spec: JobSpec;
  readonly state: JobState;
  readonly acceptedAt: WallTime;
}

/** Absorbs rounding errors in sums of fractions of a CPU. */
const EPSILON = 1e-9;

/** Reports whether the request fits into what is free. */
export function fits(request: Resources, free: Resources): boolean {
  return (
    request.cpus <= free.cpus + EPSILON &&
    request.gpus <= free.gpus + EPSILON &&
    request.memoryGb <= free.memoryGb + EPSILON
  );
}

/** Free capacity that is being allocated. */
export interface FreeCapacity {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** Takes the requested resources out of the free capacity. */
export function allocate(free: FreeCapacity, request: Resources): void {
  free.cpus -= request.cpus;
  free.gpus -= request.gpus;
  free.memoryGb -= request.memoryGb;
}

/** Gives resources back to the free capacity. */
export function release(free: FreeCapacity, returned: Resources): void {
  free.cpus += returned.cpus;
  free.gpus += returned.gpus;
  free.memoryGb += returned.memoryGb;
}
