/** Records the effects that resources accept from owners, and checks the invariants of ownership. */
import { type FencingEpoch, type Owner, type UnitId } from '@plumyoke/takeover';
import { EpochFence } from '@plumyoke/takeover/reference';

/** An effect that an owner requests on a unit's resources under an epoch. */
interface Effect {
  readonly unit: UnitId;
  readonly owner: Owner;
  readonly epoch: FencingEpoch;
}

/** Descriptions of violated invariants; empty if every invariant holds. */
export type Violations = readonly string[];

const formatOwner = ({ member, process }: Owner): string => `${member}#${process}`;

/** Resources behind an epoch fence. The resources record every effect that the fence admits. */
export class EffectHistory {
  private readonly fence = new EpochFence();
  private readonly ownerByEpoch = new Map<string, string>();
  private readonly highestAcceptedEpochs = new Map<UnitId, FencingEpoch>();
  private readonly starterByJob = new Map<string, string>();
  private readonly violations: string[] = [];
  acceptedCount = 0;
  refusedCount = 0;

  /** Creates an empty history. `isFenced` false creates a deliberately defective variant that accepts every effect. */
  constructor(private readonly isFenced = true) {}

  /** Records an effect, which may arrive after a later owner's. Returns false if the fence refused the effect. */
  recordEffect({ unit, owner, epoch }: Effect, now: number): boolean {
    if (this.isFenced && !this.fence.admit(unit, epoch)) {
      this.refusedCount++;
      return false;
    }
    this.acceptedCount++;
    this.checkSingleOwner(unit, owner, epoch, now);
    const highestEpoch = this.highestAcceptedEpochs.get(unit);
    if (highestEpoch !== undefined && epoch < highestEpoch) {
      this.violations.push(
        `${now}: ${unit} accepted epoch ${epoch} of ${formatOwner(owner)} after epoch ${highestEpoch}`,
      );
    }
    if (highestEpoch === undefined || epoch > highestEpoch) this.highestAcceptedEpochs.set(unit, epoch);
    return true;
  }

  /** Records an effect that starts a job. Returns false if the fence refused the effect. */
  recordJobStart(job: string, effect: Effect, now: number): boolean {
    if (!this.recordEffect(effect, now)) return false;
    const previousStarter = this.starterByJob.get(job);
    if (previousStarter !== undefined) {
      this.violations.push(
        `${now}: ${job} was started by ${formatOwner(effect.owner)} although ${previousStarter} had started the job`,
      );
    }
    this.starterByJob.set(job, formatOwner(effect.owner));
    return true;
  }

  /** The number of distinct jobs that were started. */
  get startedJobCount(): number {
    return this.starterByJob.size;
  }

  /** Returns the highest epoch under which an effect on the unit was accepted; null: no effect was accepted. */
  lastEpoch(unit: UnitId): FencingEpoch | null {
    return this.highestAcceptedEpochs.get(unit) ?? null;
  }

  private checkSingleOwner(unit: UnitId, owner: Owner, epoch: FencingEpoch, now: number): void {
    const key = `${unit} ${epoch}`;
    const name = formatOwner(owner);
    const previousOwner = this.ownerByEpoch.get(key);
    if (previousOwner !== undefined && previousOwner !== name) {
      this.violations.push(`${now}: epoch ${epoch} of ${unit} has two owners, ${previousOwner} and ${name}`);
    }
    this.ownerByEpoch.set(key, name);
  }

  /** Returns all violations that were recorded so far. */
  getViolations(): Violations {
    return this.violations;
  }
}
