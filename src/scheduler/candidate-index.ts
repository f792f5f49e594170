/** The order in which first-fit looks at machines. */
import type { ImageId } from '../model/ids.js';
import { fits, type Resources } from '../model/job.js';
import type { MachineView } from './snapshot.js';

interface Place {
  readonly m: MachineView;
  /** Its free CPUs when it was last put in order. */
  free: number;
}

const byId = (a: MachineView, b: MachineView): number => (a.id < b.id ? -1 : 1);
const reach = (m: MachineView): number => (m.isReachable ? 0 : 1);

type Order = (a: Place, b: Place) => number;

const spotFirst = (m: MachineView): number => (m.spot ? 0 : 1);

const ORDER_FOR_SPOT: Order = (a, b) =>
  reach(a.m) - reach(b.m) || spotFirst(a.m) - spotFirst(b.m) || a.free - b.free || byId(a.m, b.m);

const ORDER_FOR_FIRM: Order = (a, b) =>
  reach(a.m) - reach(b.m) || a.m.cpus - b.m.cpus || a.free - b.free || byId(a.m, b.m);

/** From so many moved machines on the whole shelf is sorted again. */
const MANY_MOVED = 16;

/**
 * The order in which first-fit looks at machines (ours): reachable ones first; spot ones for work
 * that may use them; then, for such work, the fuller ones, so that whole machines become idle and
 * can be given back, and of equally full ones those that have the image. Other work looks for its
 * image first, then for small machines: replicas stay long, and must not keep a big one.
 *
 * One shelf serves all jobs of a decision. It holds machines with room only, and between two jobs moves
 * those that were placed on: most jobs touch one or two.
 */
export class CandidateIndex {
  private places: Place[];
  private readonly order: Order;
  private sorted = false;
  private readonly moved = new Set<MachineView>();

  constructor(
    machines: readonly MachineView[],
    private readonly forSpot: boolean,
    private readonly least: Resources,
  ) {
    this.order = forSpot ? ORDER_FOR_SPOT : ORDER_FOR_FIRM;
    this.places = machines
      .filter((m) => (forSpot || !m.spot) && fits(least, m.free))
      .map((m) => ({ m, free: m.free.cpus }));
  }

  /** Something was placed there, or room was made: its place is looked at again before the next job. */
  touch(m: MachineView): void {
    if (this.forSpot || !m.spot) this.moved.add(m);
  }

  private settle(): void {
    if (!this.sorted || this.moved.size > MANY_MOVED) this.sortAll();
    else for (const m of this.moved) this.move(m);
    this.moved.clear();
  }

  private sortAll(): void {
    const held = new Set(this.places.map(({ m }) => m));
    for (const m of this.moved) if (!held.has(m)) this.places.push({ m, free: m.free.cpus });
    this.places = this.places.filter(({ m }) => fits(this.least, m.free));
    for (const place of this.places) place.free = place.m.free.cpus;
    this.places.sort(this.order);
    this.sorted = true;
  }

  private move(m: MachineView): void {
    const at = this.places.findIndex((place) => place.m === m);
    if (at >= 0) this.places.splice(at, 1);
    if (!fits(this.least, m.free)) return;
    const place: Place = { m, free: m.free.cpus };
    this.places.splice(this.placeFor(place), 0, place);
  }

  /** By halves: everything before it comes first. */
  private placeFor(place: Place): number {
    let low = 0;
    let high = this.places.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (this.order(this.places[middle] as Place, place) < 0) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  /** Machines for a job in first-fit order; within a group those with its image come first. */
  *inOrder(image: ImageId): Generator<MachineView> {
    this.settle();
    const { places } = this;
    const alike = (a: Place, b: Place): boolean =>
      a.m.isReachable === b.m.isReachable && (!this.forSpot || (a.m.spot === b.m.spot && a.free === b.free));
    for (let from = 0; from < places.length;) {
      const first = places[from] as Place;
      let to = from + 1;
      while (to < places.length && alike(first, places[to] as Place)) to++;
      const bare: MachineView[] = [];
      for (let i = from; i < to; i++) {
        const { m } = places[i] as Place;
        if (m.images.has(image)) yield m;
        else bare.push(m);
      }
      yield* bare;
      from = to;
    }
  }
}
