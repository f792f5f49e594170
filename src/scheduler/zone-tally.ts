/** Counts a job's tasks by zone, so that the placement rule costs the same at every size of a job. */
import type { ZoneId } from '../model/ids.js';
import type { ZoneCounts } from './placement-rule.js';

/** The zones of a job's tasks that may be on machines. A zone of null: the task's machine is unknown. */
export class ZoneTally {
  private readonly countByZone = new Map<ZoneId, number>();
  private tasksInUnknownZones = 0;

  /** Tasks on machines whose zone is unknown. */
  get unknownZoneCount(): number {
    return this.tasksInUnknownZones;
  }

  get counts(): ZoneCounts {
    return this.countByZone;
  }

  add(zone: ZoneId | null): void {
    this.change(zone, 1);
  }

  remove(zone: ZoneId | null): void {
    this.change(zone, -1);
  }

  /** A copy of the counts without one task in this zone. */
  without(zone: ZoneId | null): ZoneCounts {
    const others = new Map(this.countByZone);
    if (zone === null) return others;
    others.set(zone, Math.max(0, (others.get(zone) ?? 0) - 1));
    return others;
  }

  private change(zone: ZoneId | null, difference: number): void {
    if (zone === null) {
      this.tasksInUnknownZones += difference;
      return;
    }
    const count = (this.countByZone.get(zone) ?? 0) + difference;
    if (count > 0) this.countByZone.set(zone, count);
    else this.countByZone.delete(zone);
  }
}
