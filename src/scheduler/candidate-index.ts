/** An incrementally maintained index of machines in the order in which first-fit placement tries them. */
import type { ImageId } from '../model/ids.js';
import { fits, type Resources } from '../model/job.js';
import type { MachineView } from './snapshot.js';

interface Candidate {
  readonly machine: MachineView;
  /** The machine's free CPUs when the candidate was last sorted. */
  freeCpus: number;
}

type Comparator = (left: Candidate, right: Candidate) => number;

const compareIds = (left: MachineView, right: MachineView): number => (left.id < right.id ? -1 : 1);
const reachabilityRank = (machine: MachineView): number => (machine.isReachable ? 0 : 1);
const spotRank = (machine: MachineView): number => (machine.spot ? 0 : 1);

const SPOT_ORDER: Comparator = (left, right) =>
  reachabilityRank(left.machine) - reachabilityRank(right.machine) ||
  spotRank(left.machine) - spotRank(right.machine) ||
  left.freeCpus - right.freeCpus ||
  compareIds(left.machine, right.machine);

const ON_DEMAND_ORDER: Comparator = (left, right) =>
  reachabilityRank(left.machine) - reachabilityRank(right.machine) ||
  left.machine.cpus - right.machine.cpus ||
  left.freeCpus - right.freeCpus ||
  compareIds(left.machine, right.machine);

/**
 * Bounds the number of changed machines that are reinserted one by one when the index is next read. If more machines
 * have changed, the whole index is sorted again.
 */
const MAX_INCREMENTAL_CHANGE_COUNT = 16;

/**
 * Orders the machines for first-fit placement; the order is this project's own choice. Reachable machines come first.
 *
 * For jobs that allow spot machines, spot machines come next, then those with the fewest free CPUs, so that whole
 * machines become idle and can be scaled in; of machines with equal free CPUs, those that have the image come first.
 * Other jobs use on-demand machines only. They prefer machines that have their image, then those with the fewest CPUs,
 * then those with the fewest free CPUs: service replicas run until they are cancelled and must not keep a large machine
 * in use.
 *
 * One index serves all jobs of a placement round. The index holds only machines with enough free capacity for the
 * smallest request of these jobs. Before each read, up to `MAX_INCREMENTAL_CHANGE_COUNT` changed machines are
 * reinserted without sorting the whole index, since most jobs change one or two.
 */
export class CandidateIndex {
  private candidates: Candidate[];
  private readonly compare: Comparator;
  private isSorted = false;
  private readonly changedMachines = new Set<MachineView>();

  /**
   * @param allowsSpot Whether the index serves the jobs that may use spot machines, or those that may not.
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

  /** Marks a machine whose free capacity has changed; the machine is reordered by the next `inOrder`. */
  markChanged(machine: MachineView): void {
    if (this.allowsSpot || !machine.spot) this.changedMachines.add(machine);
  }

  private applyChanges(): void {
    if (!this.isSorted || this.changedMachines.size > MAX_INCREMENTAL_CHANGE_COUNT) this.sortAll();
    else for (const machine of this.changedMachines) this.reposition(machine);
    this.changedMachines.clear();
  }

  private sortAll(): void {
    const listed = new Set(this.candidates.map(({ machine }) => machine));
    for (const machine of this.changedMachines) {
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

  /**
   * Returns the index at which a candidate keeps the order, by binary search: all candidates before the index sort
   * before it.
   */
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

  /**
   * Yields the machines for a job in first-fit order. Of machines that are equally reachable, and for jobs that allow
   * spot machines also equal in kind (spot or on-demand) and free CPUs, those that have the job's image come first.
   */
  *inOrder(image: ImageId): Generator<MachineView> {
    this.applyChanges();
    const { candidates } = this;
    const haveEqualRank = (left: Candidate, right: Candidate): boolean =>
      left.machine.isReachable === right.machine.isReachable &&
      (!this.allowsSpot || (left.machine.spot === right.machine.spot && left.freeCpus === right.freeCpus));
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
