/** Counts a job's tasks by zone, so that the cost of the placement rule does not depend on the number of tasks. */
import type { ZoneId } from '../model/ids.js';
import type { ZoneCounts } from './placement-rule.js';

/**
 * The number of a job's tasks that may be on machines, by zone. A zone of null: the zone of the task's machine is not
 * confirmed.
 */
export class ZoneTally {
  private readonly countByZone = new Map<ZoneId, number>();
  private tasksInUnknownZones = 0;

  /** The number of tasks on machines whose zone is unknown. */
  get unknownZoneCount(): number {
    return this.tasksInUnknownZones;
  }

  get counts(): ZoneCounts {
    return this.countByZone;
  }

  add(zone: ZoneId | null): void {
    this.adjust(zone, 1);
  }

  remove(zone: ZoneId | null): void {
    this.adjust(zone, -1);
  }

  /** Returns a copy of the counts minus one task in the given zone; a zone of null subtracts nothing. */
  countsWithout(zone: ZoneId | null): ZoneCounts {
    const others = new Map(this.countByZone);
    if (zone === null) return others;
    others.set(zone, Math.max(0, (others.get(zone) ?? 0) - 1));
    return others;
  }

  private adjust(zone: ZoneId | null, delta: number): void {
    if (zone === null) {
      this.tasksInUnknownZones += delta;
      return;
    }
    const count = (this.countByZone.get(zone) ?? 0) + delta;
    if (count > 0) this.countByZone.set(zone, count);
    else this.countByZone.delete(zone);
  }
}
