/** Counts a job's tasks that may be on machines by zone, so that the placement rule costs the same at every size. */
import type { ZoneId } from '../model/ids.js';
import type { ZoneCounts } from './placement-rule.js';

/** A zone of null: the task's machine is not known. */
export class ZoneTally {
  private readonly byZone = new Map<ZoneId, number>();
  private unknownCount = 0;

  /** Tasks on machines whose zone is not known. */
  get unknownZoneCount(): number {
    return this.unknownCount;
  }

  get counts(): ZoneCounts {
    return this.byZone;
  }

  add(zone: ZoneId | null): void {
    this.change(zone, 1);
  }

  remove(zone: ZoneId | null): void {
    this.change(zone, -1);
  }

  /** The counts without one task in this zone. */
  without(zone: ZoneId | null): ZoneCounts {
    const others = new Map(this.byZone);
    if (zone === null) return others;
    others.set(zone, Math.max(0, (others.get(zone) ?? 0) - 1));
    return others;
  }

  private change(zone: ZoneId | null, by: number): void {
    if (zone === null) {
      this.unknownCount += by;
      return;
    }
    const count = (this.byZone.get(zone) ?? 0) + by;
    if (count > 0) this.byZone.set(zone, count);
    else this.byZone.delete(zone);
  }
}
