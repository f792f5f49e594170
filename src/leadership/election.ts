/** Leader election: campaigns for the leader's record, and raises the durable epoch with each takeover. */
import type { ControllerContext } from '../core/context.js';
import { errorMessage } from '../log/logger.js';
import { type Epoch, NO_REVISION, type Revision } from '../model/ids.js';
import { PROTOCOL_VERSION } from '../model/protocol.js';
import type { TermEndReason } from '../model/term-end-reason.js';
import { maxLocalDuration, type MonotonicTime, ms, plus, sleep } from '../model/time.js';
import { keys } from '../store/keys.js';
import {
  encodeEpoch,
  encodeLeader,
  decodeEpoch,
  type LeaderRecord,
  decodeLeader,
} from '../store/leader-record.js';
import { LeaderLease, type PauseGuard } from './lease.js';
import type { LeadershipTerm } from './term.js';

/** What failure detection adds to the election. */
export interface ElectionFailureDetection {
  /** Identifies this start of the process in the leader's record. */
  readonly processId: string;
  readonly pauseGuard: PauseGuard;
  /** For how long this controller leaves a free leadership to others that are better prepared. */
  candidacyDelayMs(): number;
  /** The leader's record, or what is known of it, has changed. */
  onLeaderChanged(): void;
  /** This controller does not lead any more. */
  onLeadershipEnded(): void;
}

/** Whom the election notifies. */
export interface ElectionListener {
  onElected(term: LeadershipTerm): void;
  /** The term was lost without this controller's doing. */
  onLost(reason: TermEndReason): void;
}

/** How long one watch of the leader's record waits for a change. */
const WATCH_TIMEOUT_MS = 15_000;
/** After a failure the campaign goes on after this, and up to the jitter more. */
const CAMPAIGN_RETRY_MS = 100;
const CAMPAIGN_RETRY_JITTER_MS = 150;
/** A lost takeover waits up to this before the next one. */
const TAKEOVER_RETRY_JITTER_MS = 50;
/** A free leadership is looked at again after this by a controller that may not stand yet. */
const CANDIDACY_CHECK_INTERVAL_MS = 300;

/**
 * Leadership is a key bound to a lease, and a durable epoch that is raised in the same transaction. What a deposed
 * leader still tries fails on the epoch's revision, so safety never rests on clocks here.
 */
export class Election {
  readonly lease: LeaderLease;
  private term: LeadershipTerm | null = null;
  /** This controller does not stand for election before this. */
  private candidateFrom: MonotonicTime | null = null;
  private isCampaignStopped = false;
  private failureDetection: ElectionFailureDetection | null = null;
  private leaderRecordRefreshes = 0;
  private lastObservedLeader: LeaderRecord | null = null;

  constructor(
    private readonly ctx: ControllerContext,
    private readonly listener: ElectionListener,
  ) {
    this.lease = new LeaderLease(ctx, () => this.lose('leader lease expired'));
  }

  /** The term that this controller holds; null: it does not lead. */
  get currentTerm(): LeadershipTerm | null {
    return this.term;
  }

  /** The leader's record as this controller last read it; null: nobody leads, or it was not read yet. */
  get observedLeader(): LeaderRecord | null {
    return this.lastObservedLeader;
  }

  /** Failure detection is running from now on. */
  useFailureDetection(failureDetection: ElectionFailureDetection): void {
    this.failureDetection = failureDetection;
    this.lease.usePauseGuard(failureDetection.pauseGuard);
  }

  /** Campaigns until `stopCampaigning`, and keeps the lease renewed until the process ends. */
  start(): void {
    // Never rejects: failures are logged and retried.
    void this.campaign();
    this.lease.startRenewal();
  }

  /** This controller never stands again: its process is about to end. */
  stopCampaigning(): void {
    this.isCampaignStopped = true;
  }

  /** Gives the leadership up, and does not stand again for so long; another controller may take over at once. */
  async resign(candidacyPauseMs: number): Promise<void> {
    this.term = null;
    this.failureDetection?.onLeadershipEnded();
    this.candidateFrom = plus(this.ctx.clock.now(), candidacyPauseMs);
    const lease = this.lease.release();
    if (lease === null) return;
    try {
      await this.ctx.store.revokeLease(lease);
    } catch {
      // It expires by itself.
    }
  }

  /**
   * Rewrites the leader's record under the same lease, so that its revision changes: a leader that its peers cannot
   * hear shows through the key-value store that it is alive.
   */
  async refreshLeaderRecord(): Promise<void> {
    const { term } = this;
    const { id: lease } = this.lease;
    if (lease === null || term === null) return;
    const row = await this.ctx.store.get(keys.leader);
    if (row?.lease !== lease) return;
    this.leaderRecordRefreshes++;
    const value = encodeLeader(this.recordFor(term.epoch), this.leaderRecordRefreshes);
    await this.ctx.store.txn(
      [
        { key: keys.leader, revision: row.revision },
        { key: keys.epoch, revision: term.epochRevision },
      ],
      [{ set: keys.leader, value, grant: lease }],
    );
  }

  private async campaign(): Promise<void> {
    const { clock, log, random } = this.ctx;
    while (!this.isCampaignStopped) {
      try {
        await this.campaignOnce();
      } catch (error) {
        log.debug({ error: errorMessage(error) }, 'campaign interrupted');
        await sleep(clock, CAMPAIGN_RETRY_MS + random() * CAMPAIGN_RETRY_JITTER_MS);
      }
    }
  }

  /** Reads the leader's record; then takes over, or waits for the record to change. */
  private async campaignOnce(): Promise<void> {
    const { clock, store, member } = this.ctx;
    const page = await store.range(keys.leader);
    const row = page.rows.find(({ key }) => key === keys.leader);
    this.observeLeader(row ? decodeLeader(row.value) : null);
    if (this.isCampaignStopped) return;
    const mayStand = this.candidateFrom === null || clock.now() >= this.candidateFrom;
    // A record with our own name is one of an earlier term, or of an earlier start of this process.
    const isVacant = !row || this.observedLeader?.member === member;
    if (!this.term && mayStand && isVacant) await this.takeOver(row?.revision ?? NO_REVISION);
    else if (!mayStand && !row) await sleep(clock, CANDIDACY_CHECK_INTERVAL_MS);
    else await store.watch(keys.leader, page.revision, WATCH_TIMEOUT_MS);
  }

  private observeLeader(leader: LeaderRecord | null): void {
    const hasChanged = leader?.epoch !== this.lastObservedLeader?.epoch;
    this.lastObservedLeader = leader;
    if (hasChanged) this.failureDetection?.onLeaderChanged();
  }

  /** A controller that is not the first choice leaves a free leadership to others for a moment, then stands itself. */
  private async takeOver(leaderRevision: Revision): Promise<void> {
    const isFree = leaderRevision === NO_REVISION;
    const delayMs = isFree ? (this.failureDetection?.candidacyDelayMs() ?? 0) : 0;
    if (delayMs > 0) {
      await sleep(this.ctx.clock, delayMs);
      const row = await this.ctx.store.get(keys.leader);
      if (row) return;
    }
    await this.tryTakeover(leaderRevision);
  }

  private async tryTakeover(leaderRevision: Revision): Promise<void> {
    const { store, clock, random } = this.ctx;
    const epochRow = await store.get(keys.epoch);
    const former = decodeEpoch(epochRow?.value);
    const epoch = (former.epoch + 1) as Epoch;
    const leaseRequest = this.lease.beginRequest();
    const lease = await store.grantLease(this.lease.ttl);
    const record = this.recordFor(epoch);
    const result = await store.txn(
      [
        { key: keys.leader, revision: leaderRevision },
        { key: keys.epoch, revision: epochRow?.revision ?? NO_REVISION },
      ],
      [
        { set: keys.leader, value: encodeLeader(record), grant: lease },
        { set: keys.epoch, value: encodeEpoch({ epoch, early: former.early }) },
      ],
    );
    if (!result.ok) {
      await store.revokeLease(lease);
      await sleep(clock, random() * TAKEOVER_RETRY_JITTER_MS);
      return;
    }
    this.lease.confirm(lease, leaseRequest);
    this.term = {
      epoch,
      epochRevision: result.revision,
      previousLeaseRemaining: former.early ? maxLocalDuration(this.lease.ttl) : ms(0),
    };
    this.observeLeader(record);
    this.listener.onElected(this.term);
  }

  private recordFor(epoch: Epoch): LeaderRecord {
    const record = { member: this.ctx.member, epoch, version: PROTOCOL_VERSION };
    return this.failureDetection ? { ...record, process: this.failureDetection.processId } : record;
  }

  private lose(reason: TermEndReason): void {
    this.term = null;
    this.failureDetection?.onLeadershipEnded();
    this.listener.onLost(reason);
  }
}
