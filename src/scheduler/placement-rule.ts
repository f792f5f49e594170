/**
 * PROTOCOL's rule `wrong_place` as one pure decision: whether a task of a job may start on a machine, given the job's
 * other tasks that may be on machines. Placement, scale-out and the check of outgoing start commands all use it.
 */
import type { MachineTypeId, ZoneId } from '../model/ids.js';
import type { JobSpec } from '../model/job.js';

/** The part of a job's description that the rule depends on. */
export type PlacementSpec = Pick<
  JobSpec,
  'allowedTypes' | 'zone' | 'allowsSpot' | 'zoneAffinity' | 'zoneAntiAffinity' | 'taskCount'
>;

/** The part of a machine that the rule depends on. */
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

/** How many of the job's other tasks may be on machines, by zone. */
export type ZoneCounts = ReadonlyMap<ZoneId, number>;

/** Why the job does not allow such a machine at all; null: it does. */
export function machineRefusal(spec: PlacementSpec, machine: PlacementMachine): PlacementRefusal | null {
  if (machine.spot && !spec.allowsSpot) return PlacementRefusal.Spot;
  if (spec.zone !== null && spec.zone !== machine.zone) return PlacementRefusal.Zone;
  if (spec.allowedTypes !== null && !spec.allowedTypes.includes(machine.type)) return PlacementRefusal.Type;
  return null;
}

/** The counts of a job without tasks on machines. */
export const NO_TASKS: ZoneCounts = new Map();

/** How many tasks of a job with zone anti-affinity may be in one zone. */
function maxTasksInZone(spec: PlacementSpec): number {
  return Math.ceil(spec.taskCount / 2);
}

function hasTaskInOtherZone(others: ZoneCounts, zone: ZoneId): boolean {
  for (const [other, count] of others) if (count > 0 && other !== zone) return true;
  return false;
}

/** How many more tasks of the job may be in the zone, given those that are on machines. */
export function remainingInZone(spec: PlacementSpec, others: ZoneCounts, zone: ZoneId): number {
  if (spec.zoneAffinity && hasTaskInOtherZone(others, zone)) return 0;
  return spec.zoneAntiAffinity ? Math.max(0, maxTasksInZone(spec) - (others.get(zone) ?? 0)) : Infinity;
}

/** Why one more task may not be in the zone, given the others; null: it may. */
export function zoneRefusal(spec: PlacementSpec, others: ZoneCounts, zone: ZoneId): PlacementRefusal | null {
  if (remainingInZone(spec, others, zone) > 0) return null;
  return spec.zoneAffinity && hasTaskInOtherZone(others, zone)
    ? PlacementRefusal.OtherZone
    : PlacementRefusal.HalfInZone;
}

/** Whether the zones of a job's other tasks restrict the next one. */
export function hasZoneConstraint(spec: PlacementSpec): boolean {
  return spec.zoneAffinity || spec.zoneAntiAffinity;
}

/** The whole rule: why a task may not start on the machine; null: it may. */
export function placementRefusal(
  spec: PlacementSpec,
  machine: PlacementMachine,
  others: ZoneCounts,
): PlacementRefusal | null {
  return machineRefusal(spec, machine) ?? zoneRefusal(spec, others, machine.zone);
}
