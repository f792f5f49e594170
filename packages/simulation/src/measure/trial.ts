/** Measures takeovers in a cluster whose owners fail repeatedly. */
import type { MembershipTuning } from '@plumyoke/membership';
import type { UnitId } from '@plumyoke/takeover';
import { type ClusterEvent, LoopbackCluster } from '../loopback/loopback-cluster.js';
import type { FailoverMode } from '../loopback/protocol.js';
import type { FailureKind } from './failure-kinds.js';

const POLL_INTERVAL_MS = 5;
const WAIT_TIMEOUT_MS = 30_000;
/** The time without events after which a cluster counts as settled. */
const SETTLED_AFTER_MS = 1200;

/**
 * The times from a failure to each stage of the takeover, in milliseconds; null: the stage was not reached before the
 * wait ended. `claimedMs` is also null if the unit was claimed but not served.
 */
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
  const end = performance.now() + WAIT_TIMEOUT_MS;
  while (performance.now() < end) {
    if (condition()) return true;
    await sleep(POLL_INTERVAL_MS);
  }
  return false;
}

/** A trial on one cluster of processes. A trial can be run only once, because the cluster is closed afterwards. */
export class Trial {
  private readonly cluster: LoopbackCluster;
  private readonly unit: UnitId;

  constructor(private readonly options: TrialOptions) {
    const { controllers, mode, program, tuning } = options;
    this.cluster = new LoopbackCluster({ controllers, units: 1, mode, program, tuning });
    this.unit = this.cluster.units[0] as UnitId;
  }

  /** Injects all failures and resolves to the takeover times of each. Throws if the history violates an invariant. */
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
    const violations = this.cluster.history.getViolations();
    if (violations.length > 0) throw new Error(violations.join('\n'));
    return times;
  }

  /** Resolves to the number of suspicions within `durationMs` in a cluster without failures. */
  async countFalseSuspicions(durationMs: number): Promise<number> {
    try {
      await this.cluster.start();
      await this.settle();
      const firstEventIndex = this.cluster.events.length;
      await sleep(durationMs);
      return this.cluster.events.slice(firstEventIndex).filter(({ to }) => to === 'suspect').length;
    } finally {
      this.cluster.close();
    }
  }

  private async settle(): Promise<void> {
    const { cluster, unit } = this;
    await waitUntil(() => cluster.servingOwner(unit) !== null);
    // The random delay makes failures occur at different phases of probing and lease renewal.
    await sleep(SETTLED_AFTER_MS + Math.random() * 700);
    let lastEventCount = cluster.events.length;
    let quietSince = performance.now();
    await waitUntil(() => {
      if (cluster.events.length !== lastEventCount) quietSince = performance.now();
      lastEventCount = cluster.events.length;
      return performance.now() - quietSince > SETTLED_AFTER_MS;
    });
  }

  private async measureFailure(): Promise<TakeoverTimes> {
    const { cluster, unit, options } = this;
    const failedOwner = cluster.servingOwner(unit);
    if (failedOwner === null)
      throw new Error('no controller serves the unit, so there is no owner that can fail');
    const firstEventIndex = cluster.events.length;
    const injectedAtMs = performance.now();
    options.kind.inject(cluster, failedOwner.member);
    const isTakenOver = await waitUntil(() => (cluster.servingOwner(unit)?.epoch ?? 0) > failedOwner.epoch);
    const ownerEvents = cluster.events
      .slice(firstEventIndex)
      .filter(({ subject }) => subject === failedOwner.member);
    const elapsedToState = (state: string): number | null => elapsedToFirst(ownerEvents, state, injectedAtMs);
    return {
      suspectMs: elapsedToState('suspect'),
      failedMs: elapsedToState('failed'),
      claimedMs: isTakenOver ? cluster.lastClaimAt(unit) - injectedAtMs : null,
      servingMs: isTakenOver ? (cluster.servingOwner(unit)?.at ?? injectedAtMs) - injectedAtMs : null,
    };
  }
}

function elapsedToFirst(events: readonly ClusterEvent[], state: string, fromMs: number): number | null {
  const event = events.find(({ to }) => to === state);
  return event ? event.at - fromMs : null;
}
