/**
 * PROTOCOL's rule `wrong_place` as a pure function: whether a task of a job may start on a machine, given the job's
 * other tasks that may be on machines. Placement, scale-out and the check of outgoing start commands all use this
 * module.
 */
import type { MachineTypeId, ZoneId } from '../model/ids.js';
import type { JobSpec } from '../model/job.js';

/** The part of a job's description on which the placement rule depends. */
export type PlacementSpec = Pick<
  JobSpec,
  'allowedTypes' | 'zone' | 'allowsSpot' | 'zoneAffinity' | 'zoneAntiAffinity' | 'taskCount'
>;

/** The properties of a machine on which the placement rule depends. */
export interface PlacementMachine {
  readonly type: MachineTypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
}

/** The part of the placement rule that forbids a start. */
export enum PlacementRefusal {
  MachineUnknown = 'the machine is not known',
  Type = 'type',
  Zone = 'zone',
  Spot = 'spot machine',
  OtherZone = 'a task of the job may be in another zone',
  HalfInZone = 'half of the tasks may be in this zone',
  ZoneUnknown = 'a task of the job is on a machine that is not known',
}

/** The number of a job's tasks that may be on machines, by zone. */
export type ZoneCounts = ReadonlyMap<ZoneId, number>;

/**
 * Returns why the job's machine type, zone or spot constraint excludes the machine, whatever other tasks the job has;
 * null: the machine is allowed.
 */
export function machineRefusal(spec: PlacementSpec, machine: PlacementMachine): PlacementRefusal | null {
  if (machine.spot && !spec.allowsSpot) return PlacementRefusal.Spot;
  if (spec.zone !== null && spec.zone !== machine.zone) return PlacementRefusal.Zone;
  if (spec.allowedTypes !== null && !spec.allowedTypes.includes(machine.type)) return PlacementRefusal.Type;
  return null;
}

/** The zone counts of a job without tasks on machines. */
export const EMPTY_ZONE_COUNTS: ZoneCounts = new Map();

/** Returns the maximum number of tasks of a job with zone anti-affinity that may be in one zone: half, rounded up. */
function maxTasksInZone(spec: PlacementSpec): number {
  return Math.ceil(spec.taskCount / 2);
}

function hasTaskInOtherZone(others: ZoneCounts, zone: ZoneId): boolean {
  for (const [other, count] of others) if (count > 0 && other !== zone) return true;
  return false;
}

/** Returns how many more tasks of the job may be in the zone, given the job's other tasks; `Infinity`: no limit. */
export function remainingInZone(spec: PlacementSpec, others: ZoneCounts, zone: ZoneId): number {
  if (spec.zoneAffinity && hasTaskInOtherZone(others, zone)) return 0;
  return spec.zoneAntiAffinity ? Math.max(0, maxTasksInZone(spec) - (others.get(zone) ?? 0)) : Infinity;
}

/**
 * Returns why one more task of the job may not be in the zone, given the job's other tasks; null: the task may be
 * there.
 */
export function zoneRefusal(spec: PlacementSpec, others: ZoneCounts, zone: ZoneId): PlacementRefusal | null {
  if (remainingInZone(spec, others, zone) > 0) return null;
  return spec.zoneAffinity && hasTaskInOtherZone(others, zone)
    ? PlacementRefusal.OtherZone
    : PlacementRefusal.HalfInZone;
}

/** Whether the zones of a job's other tasks restrict the zone of the next task. */
export function hasZoneConstraint(spec: PlacementSpec): boolean {
  return spec.zoneAffinity || spec.zoneAntiAffinity;
}

/** Applies the whole placement rule. Returns why a task may not start on the machine; null: the task may start. */
export function placementRefusal(
  spec: PlacementSpec,
  machine: PlacementMachine,
  others: ZoneCounts,
): PlacementRefusal | null {
  return machineRefusal(spec, machine) ?? zoneRefusal(spec, others, machine.zone);
}
