/** One laboratory in which owners fail again and again, and the times that each takeover took. */
import type { MembershipTuning } from '@plumyoke/membership';
import type { UnitId } from '@plumyoke/takeover';
import { type LabEvent, Laboratory } from '../loopback/loopback-cluster.js';
import type { FailoverMode } from '../loopback/protocol.js';
import type { FailureKind } from './failure-kinds.js';

const LOOK_EVERY_MS = 5;
const GIVE_UP_MS = 30_000;
/** A cluster counts as settled when it has been quiet for so long. */
const QUIET_MS = 1200;

/** Milliseconds from the failure; null: it did not come to that. */
export interface TakeoverTimes {
  readonly suspectMs: number | null;
  readonly failedMs: number | null;
  readonly claimedMs: number | null;
  readonly servingMs: number | null;
}

/** What is run. */
export interface TrialOptions {
  readonly mode: FailoverMode;
  readonly controllers: number;
  readonly kind: FailureKind;
  readonly failures: number;
  readonly program: string;
  readonly tuning: MembershipTuning;
}

const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

async function holds(condition: () => boolean): Promise<boolean> {
  const end = performance.now() + GIVE_UP_MS;
  while (performance.now() < end) {
    if (condition()) return true;
    await sleep(LOOK_EVERY_MS);
  }
  return false;
}

/** One cluster of processes. */
export class Trial {
  private readonly laboratory: Laboratory;
  private readonly unit: UnitId;

  constructor(private readonly options: TrialOptions) {
    const { controllers, mode, program, tuning } = options;
    this.laboratory = new Laboratory({ controllers, units: 1, mode, program, tuning });
    this.unit = this.laboratory.units[0] as UnitId;
  }

  /** Resolves with the times of all failures. Throws if a history is wrong. */
  async run(): Promise<TakeoverTimes[]> {
    const times: TakeoverTimes[] = [];
    try {
      await this.laboratory.start();
      for (let i = 0; i < this.options.failures; i++) {
        await this.settle();
        times.push(await this.fail());
        this.laboratory.heal();
      }
    } finally {
      this.laboratory.close();
    }
    const violations = this.laboratory.history.check();
    if (violations.length > 0) throw new Error(violations.join('\n'));
    return times;
  }

  /** Suspicions in a cluster in which nothing fails, for so long. */
  async quietSuspicions(forMs: number): Promise<number> {
    try {
      await this.laboratory.start();
      await this.settle();
      const from = this.laboratory.events.length;
      await sleep(forMs);
      return this.laboratory.events.slice(from).filter(({ to }) => to === 'suspect').length;
    } finally {
      this.laboratory.close();
    }
  }

  private async settle(): Promise<void> {
    const { laboratory, unit } = this;
    await holds(() => laboratory.served(unit) !== null);
    // At another moment of the probes' and renewals' periods each time.
    await sleep(QUIET_MS + Math.random() * 700);
    let last = laboratory.events.length;
    let quietSince = performance.now();
    await holds(() => {
      if (laboratory.events.length !== last) quietSince = performance.now();
      last = laboratory.events.length;
      return performance.now() - quietSince > QUIET_MS;
    });
  }

  private async fail(): Promise<TakeoverTimes> {
    const { laboratory, unit, options } = this;
    const before = laboratory.served(unit);
    if (before === null) throw new Error('nobody serves');
    const events = laboratory.events.length;
    const at = performance.now();
    options.kind.inflict(laboratory, before.member);
    const taken = await holds(() => (laboratory.served(unit)?.epoch ?? 0) > before.epoch);
    const after = laboratory.events.slice(events).filter(({ subject }) => subject === before.member);
    const first = (state: string): number | null => firstAt(after, state, at);
    return {
      suspectMs: first('suspect'),
      failedMs: first('failed'),
      claimedMs: taken ? laboratory.lastClaimAt(unit) - at : null,
      servingMs: taken ? (laboratory.served(unit)?.at ?? at) - at : null,
    };
  }
}

function firstAt(events: readonly LabEvent[], state: string, from: number): number | null {
  const event = events.find(({ to }) => to === state);
  return event ? event.at - from : null;
}
