/** The order in which first-fit looks at machines. */
import type { ImageId } from '../model/ids.js';
import { fits, type Resources } from '../model/job.js';
import type { MachineView } from './snapshot.js';

interface Place {
  readonly m: MachineView;
  /** Its free CPUs when the shelf was last put in order. */
  free: number;
}

const byId = (a: MachineView, b: MachineView): number => (a.id < b.id ? -1 : 1);
const reach = (m: MachineView): number => (m.reachable ? 0 : 1);

/**
 * The order in which first-fit looks at machines (ours): reachable ones first; spot ones for work
 * that may use them; then, for such work, the fuller ones, so that whole machines become idle and
 * can be given back, and of equally full ones those that have the image. Other work looks for its
 * image first, then for small machines: replicas stay long, and must not keep a big one.
 *
 * One shelf serves all jobs of a decision. It holds machines with room only; between two jobs few
 * of them have moved, and sorting what is nearly in order costs little more than reading it.
 */
export class Shelf {
  private places: Place[];
  private sorted = false;

  constructor(
    machines: readonly MachineView[],
    private readonly forSpot: boolean,
    private readonly least: Resources,
  ) {
    this.places = machines
      .filter((m) => (forSpot || !m.spot) && fits(least, m.free))
      .map((m) => ({ m, free: m.free.cpus }));
  }

  /** Something was placed: the order is looked at again before the next job. */
  touch(): void {
    this.sorted = false;
  }

  /** Room was made on a machine that may have had none. */
  reopen(m: MachineView): void {
    if ((this.forSpot || !m.spot) && !this.places.some((p) => p.m === m)) {
      this.places.push({ m, free: m.free.cpus });
    }
    this.sorted = false;
  }

  private settle(): void {
    if (this.sorted) return;
    this.sorted = true;
    this.places = this.places.filter((p) => fits(this.least, p.m.free));
    for (const p of this.places) p.free = p.m.free.cpus;
    const spot = (m: MachineView): number => (m.spot ? 0 : 1);
    this.places.sort(
      this.forSpot
        ? (a, b) => reach(a.m) - reach(b.m) || spot(a.m) - spot(b.m) || a.free - b.free || byId(a.m, b.m)
        : (a, b) => reach(a.m) - reach(b.m) || a.m.cpus - b.m.cpus || a.free - b.free || byId(a.m, b.m),
    );
  }

  /** Machines for a job in first-fit order; within a group those with its image come first. */
  *inOrder(image: ImageId): Generator<MachineView> {
    this.settle();
    const { places } = this;
    const alike = (a: Place, b: Place): boolean =>
      a.m.reachable === b.m.reachable && (!this.forSpot || (a.m.spot === b.m.spot && a.free === b.free));
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
