/**
 * Leader election: campaigns for the leader record in the key-value store and increments the durable epoch on each
 * takeover.
 */
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

/** The inputs and callbacks that failure detection provides to the election. */
export interface ElectionFailureDetection {
  /** The identity of this process instance, written to the leader record; a restarted process has a new identity. */
  readonly processId: string;
  readonly pauseGuard: PauseGuard;
  /**
   * Returns how long this controller waits before it claims a vacant leadership, so that higher-ranked successors can
   * claim it first.
   */
  candidacyDelayMs(): number;
  /**
   * Is called when the leader record, as last read or written by this controller, appears, disappears, or changes to
   * another epoch.
   */
  onLeaderChanged(): void;
  /** Is called when this controller stops leading; called twice for a term that ends because the lease expired. */
  onLeadershipEnded(): void;
}

/** Receives the results of the election. */
export interface ElectionListener {
  onElected(term: LeadershipTerm): void;
  /** Is called when this controller loses its term without having resigned. */
  onLost(reason: TermEndReason): void;
}

/** The longest time that a single watch request on the leader record waits for a change. */
const WATCH_TIMEOUT_MS = 15_000;
/** The delay before the campaign continues after an error; a random jitter is added. */
const CAMPAIGN_RETRY_DELAY_MS = 100;
/** The upper bound of the random jitter added to the campaign's retry delay. */
const CAMPAIGN_RETRY_JITTER_MS = 150;
/** The upper bound of the random delay after a takeover whose transaction another controller has won. */
const TAKEOVER_RETRY_JITTER_MS = 50;
/** How often a controller whose candidacy is paused checks a vacant leadership. */
const CANDIDACY_CHECK_INTERVAL_MS = 300;

/**
 * Elects the leader: leadership consists of a key bound to a lease and a durable epoch that is incremented in the same
 * transaction. Every write of a deposed leader fails the comparison of the epoch's revision, so the safety of the
 * election does not depend on clocks.
 */
export class Election {
  readonly lease: LeaderLease;
  private term: LeadershipTerm | null = null;
  /** The earliest time at which this controller may be a candidate; null: at any time. */
  private candidacyResumesAt: MonotonicTime | null = null;
  private isCampaignStopped = false;
  private failureDetection: ElectionFailureDetection | null = null;
  private leaderRecordRefreshCount = 0;
  private lastObservedLeader: LeaderRecord | null = null;

  constructor(
    private readonly ctx: ControllerContext,
    private readonly listener: ElectionListener,
  ) {
    this.lease = new LeaderLease(ctx, () => this.handleTermLost('leader lease expired'));
  }

  /** The term that this controller holds; null: this controller does not lead. */
  get currentTerm(): LeadershipTerm | null {
    return this.term;
  }

  /**
   * The leader record as this controller last read or wrote it; null: there is no leader record, the record was not
   * read yet, or it cannot be decoded.
   */
  get observedLeader(): LeaderRecord | null {
    return this.lastObservedLeader;
  }

  /** Connects failure detection to the election and its lease; called when failure detection starts. */
  useFailureDetection(failureDetection: ElectionFailureDetection): void {
    this.failureDetection = failureDetection;
    this.lease.usePauseGuard(failureDetection.pauseGuard);
  }

  /**
   * Starts the campaign, which runs until `stopCampaigning`, and the renewal of the lease, which runs until the process
   * ends.
   */
  start(): void {
    // The campaign's promise never rejects: errors are logged and the campaign is retried.
    void this.campaign();
    this.lease.startRenewal();
  }

  /**
   * Ends this controller's candidacy for good, because its process is about to exit; a takeover in progress still
   * completes.
   */
  stopCampaigning(): void {
    this.isCampaignStopped = true;
  }

  /**
   * Resigns and pauses this controller's candidacy for `candidacyPauseMs`. The lease is revoked, so that another
   * controller can take over at once.
   */
  async resign(candidacyPauseMs: number): Promise<void> {
    this.term = null;
    this.failureDetection?.onLeadershipEnded();
    this.candidacyResumesAt = plus(this.ctx.clock.now(), candidacyPauseMs);
    const lease = this.lease.release();
    if (lease === null) return;
    try {
      await this.ctx.store.revokeLease(lease);
    } catch {
      // A lease that could not be revoked expires after its time to live.
    }
  }

  /**
   * Rewrites the leader record under the same lease, which changes the record's revision. A leader whose messages do
   * not reach its peers shows in this way, through the key-value store, that it is alive. Does nothing unless this
   * controller leads and the stored record is bound to its lease.
   */
  async refreshLeaderRecord(): Promise<void> {
    const { term } = this;
    const { id: lease } = this.lease;
    if (lease === null || term === null) return;
    const row = await this.ctx.store.get(keys.leader);
    if (row?.lease !== lease) return;
    this.leaderRecordRefreshCount++;
    const value = encodeLeader(this.leaderRecordFor(term.epoch), this.leaderRecordRefreshCount);
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
        await sleep(clock, CAMPAIGN_RETRY_DELAY_MS + random() * CAMPAIGN_RETRY_JITTER_MS);
      }
    }
  }

  /**
   * Reads the leader record, then takes over, waits for the record to change, or, while this controller's candidacy is
   * paused and there is no record, sleeps. Does nothing after the read if the campaign was stopped.
   */
  private async campaignOnce(): Promise<void> {
    const { clock, store, member } = this.ctx;
    const page = await store.range(keys.leader);
    const row = page.rows.find(({ key }) => key === keys.leader);
    this.observeLeader(row ? decodeLeader(row.value) : null);
    if (this.isCampaignStopped) return;
    const isCandidate = this.candidacyResumesAt === null || clock.now() >= this.candidacyResumesAt;
    // While this controller holds no term, a record that names this controller is from an earlier term or an earlier
    // process instance of this controller.
    const isVacant = !row || this.observedLeader?.member === member;
    if (!this.term && isCandidate && isVacant) await this.takeOver(row?.revision ?? NO_REVISION);
    else if (!isCandidate && !row) await sleep(clock, CANDIDACY_CHECK_INTERVAL_MS);
    else await store.watch(keys.leader, page.revision, WATCH_TIMEOUT_MS);
  }

  private observeLeader(leader: LeaderRecord | null): void {
    const hasChanged = leader?.epoch !== this.lastObservedLeader?.epoch;
    this.lastObservedLeader = leader;
    if (hasChanged) this.failureDetection?.onLeaderChanged();
  }

  /**
   * Takes over the leadership. If there is no leader record, a controller whose candidacy delay is above 0 waits for
   * that delay first and abandons the attempt if another controller has taken over meanwhile.
   */
  private async takeOver(leaderRevision: Revision): Promise<void> {
    const isLeaderRecordAbsent = leaderRevision === NO_REVISION;
    const delayMs = isLeaderRecordAbsent ? (this.failureDetection?.candidacyDelayMs() ?? 0) : 0;
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
    const previous = decodeEpoch(epochRow?.value);
    const epoch = (previous.epoch + 1) as Epoch;
    const leaseRequest = this.lease.beginRequest();
    const lease = await store.grantLease(this.lease.ttlMs);
    const record = this.leaderRecordFor(epoch);
    const result = await store.txn(
      [
        { key: keys.leader, revision: leaderRevision },
        { key: keys.epoch, revision: epochRow?.revision ?? NO_REVISION },
      ],
      [
        { set: keys.leader, value: encodeLeader(record), grant: lease },
        { set: keys.epoch, value: encodeEpoch({ epoch, early: previous.early }) },
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
      previousLeaseRemaining: previous.early ? maxLocalDuration(this.lease.ttlMs) : ms(0),
    };
    this.observeLeader(record);
    this.listener.onElected(this.term);
  }

  private leaderRecordFor(epoch: Epoch): LeaderRecord {
    const record = { member: this.ctx.member, epoch, version: PROTOCOL_VERSION };
    return this.failureDetection ? { ...record, process: this.failureDetection.processId } : record;
  }

  private handleTermLost(reason: TermEndReason): void {
    this.term = null;
    this.failureDetection?.onLeadershipEnded();
    this.listener.onLost(reason);
  }
}
