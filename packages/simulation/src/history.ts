/** Records the effects of owners as the resources see them, and checks the invariants of ownership. */
import { type FencingEpoch, type Owner, type UnitId } from '@plumyoke/takeover';
import { EpochFence } from '@plumyoke/takeover/reference';

/** An effect of an owner on a unit's resources. */
interface Effect {
  readonly unit: UnitId;
  readonly owner: Owner;
  readonly epoch: FencingEpoch;
}

/** Descriptions of violated invariants; empty if there are none. */
export type Violations = readonly string[];

const nameOf = ({ member, process }: Owner): string => `${member}#${process}`;

/** Resources behind an epoch fence, which record the effects that they accept. */
export class EffectHistory {
  private readonly fence = new EpochFence();
  private readonly ownerOfEpoch = new Map<string, string>();
  private readonly lastAccepted = new Map<UnitId, FencingEpoch>();
  private readonly jobStarters = new Map<string, string>();
  private readonly violations: string[] = [];
  acceptedCount = 0;
  refusedCount = 0;

  /** `isFenced`: false makes a deliberately defective variant that accepts every effect. */
  constructor(private readonly isFenced = true) {}

  /** Records an effect, which may arrive late. Returns false if it was refused. */
  recordEffect({ unit, owner, epoch }: Effect, now: number): boolean {
    if (this.isFenced && !this.fence.admit(unit, epoch)) {
      this.refusedCount++;
      return false;
    }
    this.acceptedCount++;
    this.checkSingleOwner(unit, owner, epoch, now);
    const last = this.lastAccepted.get(unit);
    if (last !== undefined && epoch < last) {
      this.violations.push(`${now}: ${unit} accepted epoch ${epoch} of ${nameOf(owner)} after epoch ${last}`);
    }
    if (last === undefined || epoch > last) this.lastAccepted.set(unit, epoch);
    return true;
  }

  /** Records an effect that starts a job. Returns false if it was refused. */
  recordJobStart(job: string, effect: Effect, now: number): boolean {
    if (!this.recordEffect(effect, now)) return false;
    const before = this.jobStarters.get(job);
    if (before !== undefined) {
      this.violations.push(`${now}: ${job} was begun by ${nameOf(effect.owner)} after ${before}`);
    }
    this.jobStarters.set(job, nameOf(effect.owner));
    return true;
  }

  /** The number of jobs that were started. */
  get startedJobCount(): number {
    return this.jobStarters.size;
  }

  /** Returns the highest epoch under which an effect on the unit was accepted; null: none was. */
  lastEpoch(unit: UnitId): FencingEpoch | null {
    return this.lastAccepted.get(unit) ?? null;
  }

  private checkSingleOwner(unit: UnitId, owner: Owner, epoch: FencingEpoch, now: number): void {
    const key = `${unit} ${epoch}`;
    const name = nameOf(owner);
    const before = this.ownerOfEpoch.get(key);
    if (before !== undefined && before !== name) {
      this.violations.push(`${now}: epoch ${epoch} of ${unit} has two owners, ${before} and ${name}`);
    }
    this.ownerOfEpoch.set(key, name);
  }

  /** Returns the violations so far. */
  check(): Violations {
    return this.violations;
  }
}
