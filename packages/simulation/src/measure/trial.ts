/** Measures takeovers in one cluster whose owners fail repeatedly. */
import type { MembershipTuning } from '@plumyoke/membership';
import type { UnitId } from '@plumyoke/takeover';
import { type ClusterEvent, LoopbackCluster } from '../loopback/loopback-cluster.js';
import type { FailoverMode } from '../loopback/protocol.js';
import type { FailureKind } from './failure-kinds.js';

const POLL_INTERVAL_MS = 5;
const TIMEOUT_MS = 30_000;
/** A cluster is settled once no event has occurred for this time. */
const QUIET_MS = 1200;

/** The times of one takeover in milliseconds from the failure; null: the stage was not reached. */
export interface TakeoverTimes {
  readonly suspectMs: number | null;
  readonly failedMs: number | null;
  readonly claimedMs: number | null;
  readonly servingMs: number | null;
}

/** The options of a trial. */
export interface TrialOptions {
  readonly mode: FailoverMode;
  readonly controllers: number;
  readonly kind: FailureKind;
  readonly failures: number;
  readonly program: string;
  readonly tuning: MembershipTuning;
}

const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

async function waitUntil(condition: () => boolean): Promise<boolean> {
  const end = performance.now() + TIMEOUT_MS;
  while (performance.now() < end) {
    if (condition()) return true;
    await sleep(POLL_INTERVAL_MS);
  }
  return false;
}

/** A trial on one cluster of processes. A trial is run once. */
export class Trial {
  private readonly cluster: LoopbackCluster;
  private readonly unit: UnitId;

  constructor(private readonly options: TrialOptions) {
    const { controllers, mode, program, tuning } = options;
    this.cluster = new LoopbackCluster({ controllers, units: 1, mode, program, tuning });
    this.unit = this.cluster.units[0] as UnitId;
  }

  /** Resolves to the times of all failures. Throws if the history violates an invariant. */
  async run(): Promise<TakeoverTimes[]> {
    const times: TakeoverTimes[] = [];
    try {
      await this.cluster.start();
      for (let failure = 0; failure < this.options.failures; failure++) {
        await this.settle();
        times.push(await this.measureFailure());
        this.cluster.endFaults();
      }
    } finally {
      this.cluster.close();
    }
    const violations = this.cluster.history.check();
    if (violations.length > 0) throw new Error(violations.join('\n'));
    return times;
  }

  /** Counts the suspicions in a cluster without failures. */
  async countFalseSuspicions(durationMs: number): Promise<number> {
    try {
      await this.cluster.start();
      await this.settle();
      const from = this.cluster.events.length;
      await sleep(durationMs);
      return this.cluster.events.slice(from).filter(({ to }) => to === 'suspect').length;
    } finally {
      this.cluster.close();
    }
  }

  private async settle(): Promise<void> {
    const { cluster, unit } = this;
    await waitUntil(() => cluster.servingOwner(unit) !== null);
    // A random delay, so that failures occur at different phases of probing and renewal.
    await sleep(QUIET_MS + Math.random() * 700);
    let last = cluster.events.length;
    let quietSince = performance.now();
    await waitUntil(() => {
      if (cluster.events.length !== last) quietSince = performance.now();
      last = cluster.events.length;
      return performance.now() - quietSince > QUIET_MS;
    });
  }

  private async measureFailure(): Promise<TakeoverTimes> {
    const { cluster, unit, options } = this;
    const before = cluster.servingOwner(unit);
    if (before === null) throw new Error('the unit has no owner');
    const events = cluster.events.length;
    const at = performance.now();
    options.kind.inject(cluster, before.member);
    const isTakenOver = await waitUntil(() => (cluster.servingOwner(unit)?.epoch ?? 0) > before.epoch);
    const after = cluster.events.slice(events).filter(({ subject }) => subject === before.member);
    const first = (state: string): number | null => firstAt(after, state, at);
    return {
      suspectMs: first('suspect'),
      failedMs: first('failed'),
      claimedMs: isTakenOver ? cluster.lastClaimAt(unit) - at : null,
      servingMs: isTakenOver ? (cluster.servingOwner(unit)?.at ?? at) - at : null,
    };
  }
}

function firstAt(events: readonly ClusterEvent[], state: string, from: number): number | null {
  const event = events.find(({ to }) => to === state);
  return event ? event.at - from : null;
}
