/** The order in which first-fit tries machines. */
import type { ImageId } from '../model/ids.js';
import { fits, type Resources } from '../model/job.js';
import type { MachineView } from './snapshot.js';

interface Candidate {
  readonly machine: MachineView;
  /** Its free CPUs when it was last put in order. */
  freeCpus: number;
}

type Comparator = (a: Candidate, b: Candidate) => number;

const compareIds = (a: MachineView, b: MachineView): number => (a.id < b.id ? -1 : 1);
const reachabilityRank = (machine: MachineView): number => (machine.isReachable ? 0 : 1);
const spotRank = (machine: MachineView): number => (machine.spot ? 0 : 1);

const SPOT_ORDER: Comparator = (a, b) =>
  reachabilityRank(a.machine) - reachabilityRank(b.machine) ||
  spotRank(a.machine) - spotRank(b.machine) ||
  a.freeCpus - b.freeCpus ||
  compareIds(a.machine, b.machine);

const ON_DEMAND_ORDER: Comparator = (a, b) =>
  reachabilityRank(a.machine) - reachabilityRank(b.machine) ||
  a.machine.cpus - b.machine.cpus ||
  a.freeCpus - b.freeCpus ||
  compareIds(a.machine, b.machine);

/** From so many changed machines on, all are sorted again. */
const FULL_SORT_CHANGES = 16;

/**
 * The machines that first-fit tries, in order (ours): reachable ones first; spot ones for jobs that allow them; then,
 * for such jobs, the fuller ones, so that whole machines become idle and can be scaled in, and of equally full ones
 * those that have the image. Other jobs prefer machines with their image, then small ones: replicas stay long, and
 * must not keep a big one.
 *
 * One index serves all jobs of a placement round. It holds only machines with free capacity for any of them, and moves
 * those that have changed between two jobs: most jobs change one or two.
 */
export class CandidateIndex {
  private candidates: Candidate[];
  private readonly compare: Comparator;
  private isSorted = false;
  private readonly changed = new Set<MachineView>();

  /**
   * @param allowsSpot Whether it serves the jobs that may use spot machines, or those that may not.
   * @param minimumFree Machines with less free capacity are left out.
   */
  constructor(
    machines: readonly MachineView[],
    private readonly allowsSpot: boolean,
    private readonly minimumFree: Resources,
  ) {
    this.compare = allowsSpot ? SPOT_ORDER : ON_DEMAND_ORDER;
    this.candidates = machines
      .filter((machine) => (allowsSpot || !machine.spot) && fits(minimumFree, machine.free))
      .map((machine) => ({ machine, freeCpus: machine.free.cpus }));
  }

  /** The machine's free capacity has changed: it is put in order again before the next job. */
  markChanged(machine: MachineView): void {
    if (this.allowsSpot || !machine.spot) this.changed.add(machine);
  }

  private applyChanges(): void {
    if (!this.isSorted || this.changed.size > FULL_SORT_CHANGES) this.sortAll();
    else for (const machine of this.changed) this.reposition(machine);
    this.changed.clear();
  }

  private sortAll(): void {
    const listed = new Set(this.candidates.map(({ machine }) => machine));
    for (const machine of this.changed) {
      if (!listed.has(machine)) this.candidates.push({ machine, freeCpus: machine.free.cpus });
    }
    this.candidates = this.candidates.filter(({ machine }) => fits(this.minimumFree, machine.free));
    for (const candidate of this.candidates) candidate.freeCpus = candidate.machine.free.cpus;
    this.candidates.sort(this.compare);
    this.isSorted = true;
  }

  private reposition(machine: MachineView): void {
    const index = this.candidates.findIndex((candidate) => candidate.machine === machine);
    if (index >= 0) this.candidates.splice(index, 1);
    if (!fits(this.minimumFree, machine.free)) return;
    const candidate: Candidate = { machine, freeCpus: machine.free.cpus };
    this.candidates.splice(this.insertionIndex(candidate), 0, candidate);
  }

  /** By binary search: all candidates before the index come before this one. */
  private insertionIndex(candidate: Candidate): number {
    let low = 0;
    let high = this.candidates.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (this.compare(this.candidates[middle] as Candidate, candidate) < 0) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  /** Machines for a job in first-fit order; of machines of equal rank those with its image come first. */
  *inOrder(image: ImageId): Generator<MachineView> {
    this.applyChanges();
    const { candidates } = this;
    const haveEqualRank = (a: Candidate, b: Candidate): boolean =>
      a.machine.isReachable === b.machine.isReachable &&
      (!this.allowsSpot || (a.machine.spot === b.machine.spot && a.freeCpus === b.freeCpus));
    for (let start = 0; start < candidates.length;) {
      const first = candidates[start] as Candidate;
      let end = start + 1;
      while (end < candidates.length && haveEqualRank(first, candidates[end] as Candidate)) end++;
      const withoutImage: MachineView[] = [];
      for (let index = start; index < end; index++) {
        const { machine } = candidates[index] as Candidate;
        if (machine.images.has(image)) yield machine;
        else withoutImage.push(machine);
      }
      yield* withoutImage;
      start = end;
    }
  }
}
