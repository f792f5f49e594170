/** What owners did, as the resources that they act upon saw it, and the checker of it. */
import { type FencingEpoch, type Owner, type UnitId } from '@plumyoke/takeover';
import { EpochFence } from '@plumyoke/takeover/reference';

/** An owner acts upon a unit's resources. */
interface Effect {
  readonly unit: UnitId;
  readonly owner: Owner;
  readonly epoch: FencingEpoch;
}

/** What was wrong with a history; empty: nothing. */
export type Violations = readonly string[];

const nameOf = ({ member, process }: Owner): string => `${member}#${process}`;

/** Resources behind a fence, recording what they accept. */
export class EffectHistory {
  private readonly fence = new EpochFence();
  private readonly ownerOfEpoch = new Map<string, string>();
  private readonly lastAccepted = new Map<UnitId, FencingEpoch>();
  private readonly begun = new Map<string, string>();
  private readonly violations: string[] = [];
  accepted = 0;
  refused = 0;

  /** `fenced`: false makes a deliberately broken variant that accepts every effect. */
  constructor(private readonly fenced = true) {}

  /** An effect arrives, perhaps late. False: it was refused. */
  effect({ unit, owner, epoch }: Effect, now: number): boolean {
    if (this.fenced && !this.fence.admit(unit, epoch)) {
      this.refused++;
      return false;
    }
    this.accepted++;
    this.checkOneOwner(unit, owner, epoch, now);
    const last = this.lastAccepted.get(unit);
    if (last !== undefined && epoch < last) {
      this.violations.push(`${now}: ${unit} accepted epoch ${epoch} of ${nameOf(owner)} after epoch ${last}`);
    }
    if (last === undefined || epoch > last) this.lastAccepted.set(unit, epoch);
    return true;
  }

  /** A job is begun by an accepted effect. */
  begin(job: string, effect: Effect, now: number): boolean {
    if (!this.effect(effect, now)) return false;
    const before = this.begun.get(job);
    if (before !== undefined) {
      this.violations.push(`${now}: ${job} was begun by ${nameOf(effect.owner)} after ${before}`);
    }
    this.begun.set(job, nameOf(effect.owner));
    return true;
  }

  get jobsBegun(): number {
    return this.begun.size;
  }

  /** How often the unit has changed hands, counted by what was accepted. */
  lastEpoch(unit: UnitId): FencingEpoch | null {
    return this.lastAccepted.get(unit) ?? null;
  }

  private checkOneOwner(unit: UnitId, owner: Owner, epoch: FencingEpoch, now: number): void {
    const key = `${unit} ${epoch}`;
    const name = nameOf(owner);
    const before = this.ownerOfEpoch.get(key);
    if (before !== undefined && before !== name) {
      this.violations.push(`${now}: epoch ${epoch} of ${unit} has two owners, ${before} and ${name}`);
    }
    this.ownerOfEpoch.set(key, name);
  }

  check(): Violations {
    return this.violations;
  }
}
