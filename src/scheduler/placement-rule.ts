/**
 * PROTOCOL's rule `wrong_place`, as one pure decision: whether a task of a job may start on a machine, given the job's
 * other tasks that may be on machines. Placement, renting and the check of run orders that leave all ask it.
 */
import type { MachineTypeId, ZoneId } from '../model/ids.js';
import type { JobSpec } from '../model/job.js';

/** The part of a job's description that the rule is about. */
export type PlacementSpec = Pick<
  JobSpec,
  'allowedTypes' | 'zone' | 'allowsSpot' | 'zoneAffinity' | 'zoneAntiAffinity' | 'taskCount'
>;

/** What the rule asks of a machine. */
export interface PlacementMachine {
  readonly type: MachineTypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
}

/** Which part of the rule forbids a start. */
export enum PlacementRefusal {
  MachineUnknown = 'the machine is not known',
  Type = 'type',
  Zone = 'zone',
  Spot = 'spot machine',
  OtherZone = 'a task of the job may be in another zone',
  HalfInZone = 'half of the tasks may be in this zone',
  ZoneUnknown = 'a task of the job is on a machine that is not known',
}

/** The job's other tasks that may be on machines, by zone. */
export type ZoneCounts = ReadonlyMap<ZoneId, number>;

/** Whether the job allows such a machine at all; null: it does. */
export function machineRefusal(spec: PlacementSpec, machine: PlacementMachine): PlacementRefusal | null {
  if (machine.spot && !spec.allowsSpot) return PlacementRefusal.Spot;
  if (spec.zone !== null && spec.zone !== machine.zone) return PlacementRefusal.Zone;
  if (spec.allowedTypes !== null && !spec.allowedTypes.includes(machine.type)) return PlacementRefusal.Type;
  return null;
}

/** No task of the job is on a machine. */
export const NO_TASKS: ZoneCounts = new Map();

/** How many tasks of a job that is to be spread may be in one zone. */
function mostInZone(spec: PlacementSpec): number {
  return Math.ceil(spec.taskCount / 2);
}

function isInOtherZone(others: ZoneCounts, zone: ZoneId): boolean {
  for (const [other, count] of others) if (count > 0 && other !== zone) return true;
  return false;
}

/** How many more tasks of the job the zone may take, given those that are on machines. */
export function remainingInZone(spec: PlacementSpec, others: ZoneCounts, zone: ZoneId): number {
  if (spec.zoneAffinity && isInOtherZone(others, zone)) return 0;
  return spec.zoneAntiAffinity ? Math.max(0, mostInZone(spec) - (others.get(zone) ?? 0)) : Infinity;
}

/** Whether one more task may go to the zone, given the others; null: it may. */
export function zoneRefusal(spec: PlacementSpec, others: ZoneCounts, zone: ZoneId): PlacementRefusal | null {
  if (remainingInZone(spec, others, zone) > 0) return null;
  return spec.zoneAffinity && isInOtherZone(others, zone)
    ? PlacementRefusal.OtherZone
    : PlacementRefusal.HalfInZone;
}

/** Whether the zones of a job's other tasks matter for the next one. */
export function hasZoneConstraint(spec: PlacementSpec): boolean {
  return spec.zoneAffinity || spec.zoneAntiAffinity;
}

/** The whole rule: null if a task may start on the machine. */
export function placementRefusal(
  spec: PlacementSpec,
  machine: PlacementMachine,
  others: ZoneCounts,
): PlacementRefusal | null {
  return machineRefusal(spec, machine) ?? zoneRefusal(spec, others, machine.zone);
}
