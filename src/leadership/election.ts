import { errorMessage } from '../log/logger.js';
import type { Epoch, LeaseId, Revision } from '../model/ids.js';
import { NO_REVISION } from '../model/ids.js';
import { PROTOCOL_VERSION } from '../model/protocol.js';
import {
  minLocalDuration,
  maxLocalDuration,
  type Cancel,
  type Millis,
  ms,
  type MonotonicTime,
  plus,
  since,
  sleep,
} from '../model/time.js';
import { StoreRefusedError } from '../store/errors.js';
import { keys } from '../store/keys.js';
import {
  encodeEpoch,
  encodeLeader,
  decodeEpoch,
  type LeaderRecord,
  decodeLeader,
} from '../store/leader-record.js';
import type { ControllerContext } from '../core/context.js';

/** A leadership that this node has taken. */
export interface LeadershipTerm {
  readonly epoch: Epoch;
  readonly epochRevision: Revision;
  /** For how long after our takeover the former leader may still have been sure of its grant. */
  readonly previousLeaseRemaining: Millis;
}

/** Whether this process has run without a pause since its grant was last renewed. */
interface PauseGuard {
  readonly open: boolean;
  /** A number that changes with every pause. */
  readonly generation: number;
  /** The grant was renewed by a request that was sent in this generation. */
  reopen(generation: number): void;
}

/** What failure detection adds to the election. */
export interface ElectionFailureDetection {
  /** The start of this process, for the leader's record. */
  readonly process: string;
  readonly guard: PauseGuard;
  /** For how long this node leaves a leadership that became free to others that are better prepared. */
  standbyMs(): number;
  /** The leader's record, or what is known of it, has changed. */
  leaderChanged(): void;
  /** This node leads no more. */
  leadershipEnded(): void;
}

const WATCH_MS = 15_000;
/** A renewal that was refused is tried again after this. */
const RENEW_AGAIN_MS = 100;

/**
 * Leadership: a key bound to a grant, and a durable epoch raised in the same transaction.
 * What a deposed leader still tries fails on the epoch's revision, so safety never rests on clocks
 * here; the clock only says how long the leader may still answer workers.
 */
export class Election {
  private leaseId: LeaseId | null = null;
  /** Our grant surely lives until then. */
  private leaseValidUntil: MonotonicTime | null = null;
  private term: LeadershipTerm | null = null;
  private notBefore: MonotonicTime | null = null;
  private failureDetection: ElectionFailureDetection | null = null;
  private signs = 0;
  private retired = false;
  private renewal: { readonly cancel: Cancel; readonly run: () => void } | null = null;
  leader: LeaderRecord | null = null;

  constructor(
    private readonly ctx: ControllerContext,
    private readonly onElected: (won: LeadershipTerm) => void,
    private readonly onLost: (why: string) => void,
  ) {}

  private get ttl(): number {
    return this.ctx.operators.leadership.leaseTtl;
  }

  /** The leadership that this node holds; null: none. */
  get currentTerm(): LeadershipTerm | null {
    return this.term;
  }

  /** Failure detection is running from now on. */
  useFailureDetection(aid: ElectionFailureDetection): void {
    this.failureDetection = aid;
  }

  /** Whether the grant surely lives, and nobody can have replaced us while this process stood still. */
  isLeaseValid(): boolean {
    if (this.leaseValidUntil === null || this.ctx.clock.now() >= this.leaseValidUntil) return false;
    return this.failureDetection?.guard.open ?? true;
  }

  /** How long ago the grant stopped being sure. */
  timeSinceLeaseExpiry(): Millis {
    return ms(
      this.leaseValidUntil === null ? Infinity : Math.max(0, this.ctx.clock.now() - this.leaseValidUntil),
    );
  }

  run(): void {
    void this.campaign();
    this.scheduleRenewal(this.ttl / 4);
  }

  /** Gives the leadership up; another node may take it at once. */
  async resign(pauseMs: number): Promise<void> {
    this.term = null;
    this.failureDetection?.leadershipEnded();
    this.notBefore = plus(this.ctx.clock.now(), pauseMs);
    const grant = this.leaseId;
    this.leaseId = null;
    this.leaseValidUntil = null;
    if (grant !== null) {
      try {
        await this.ctx.store.revokeLease(grant);
      } catch {
        // It ends by itself.
      }
    }
  }

  /** This node never stands again: its process is about to end. */
  retire(): void {
    this.retired = true;
  }

  private async campaign(): Promise<void> {
    const { clock, store } = this.ctx;
    while (!this.retired) {
      try {
        const page = await store.range(keys.leader);
        const row = page.rows.find((r) => r.key === keys.leader);
        this.noteLeader(row ? decodeLeader(row.value) : null);
        const paused = this.notBefore !== null && clock.now() < this.notBefore;
        if (this.retired) return;
        if (!this.term && !paused && (!row || this.leader?.member === this.ctx.member)) {
          await this.takeOver(row?.revision ?? NO_REVISION);
          continue;
        }
        if (paused && !row) {
          await sleep(clock, 300);
          continue;
        }
        await store.watch(keys.leader, page.revision, WATCH_MS);
      } catch (error) {
        this.ctx.log.debug({ error: errorMessage(error) }, 'election waits');
        await sleep(clock, 100 + this.ctx.random() * 150);
      }
    }
  }

  private noteLeader(leader: LeaderRecord | null): void {
    const changed = leader?.epoch !== this.leader?.epoch;
    this.leader = leader;
    if (changed) this.failureDetection?.leaderChanged();
  }

  /** A node that is no first choice leaves it to others for a moment, and stands if nobody took it. */
  private async takeOver(leaderRevision: Revision): Promise<void> {
    const standbyMs = leaderRevision === NO_REVISION ? (this.failureDetection?.standbyMs() ?? 0) : 0;
    if (standbyMs > 0) {
      await sleep(this.ctx.clock, standbyMs);
      const row = await this.ctx.store.get(keys.leader);
      if (row) return;
    }
    await this.tryTakeover(leaderRevision);
  }

  private async tryTakeover(leaderRevision: Revision): Promise<void> {
    const { store, clock } = this.ctx;
    const epochRow = await store.get(keys.epoch);
    const former = decodeEpoch(epochRow?.value);
    const epoch = (former.epoch + 1) as Epoch;
    const sentAt = clock.now();
    const { failureDetection } = this;
    const generation = failureDetection?.guard.generation ?? 0;
    const grant = await store.grantLease(this.ttl);
    const record = this.recordFor(epoch);
    const result = await store.txn(
      [
        { key: keys.leader, revision: leaderRevision },
        { key: keys.epoch, revision: epochRow?.revision ?? NO_REVISION },
      ],
      [
        { set: keys.leader, value: encodeLeader(record), grant },
        { set: keys.epoch, value: encodeEpoch({ epoch, early: former.early }) },
      ],
    );
    if (!result.ok) {
      await store.revokeLease(grant);
      await sleep(clock, this.ctx.random() * 50);
      return;
    }
    this.leaseId = grant;
    this.leaseValidUntil = plus(sentAt, minLocalDuration(this.ttl));
    failureDetection?.guard.reopen(generation);
    this.term = {
      epoch,
      epochRevision: result.revision,
      previousLeaseRemaining: former.early ? maxLocalDuration(this.ttl) : ms(0),
    };
    this.noteLeader(record);
    this.onElected(this.term);
  }

  private recordFor(epoch: Epoch): LeaderRecord {
    const record = { member: this.ctx.member, epoch, version: PROTOCOL_VERSION };
    return this.failureDetection ? { ...record, process: this.failureDetection.process } : record;
  }

  /**
   * Rewrites the leader's record under the same grant, so that its revision changes: a leader that its peers cannot
   * hear shows through the state service that it lives.
   */
  async refreshLeaderRecord(): Promise<void> {
    const { leaseId, term } = this;
    if (leaseId === null || term === null) return;
    const row = await this.ctx.store.get(keys.leader);
    if (row?.lease !== leaseId) return;
    this.signs++;
    await this.ctx.store.txn(
      [
        { key: keys.leader, revision: row.revision },
        { key: keys.epoch, revision: term.epochRevision },
      ],
      [{ set: keys.leader, value: encodeLeader(this.recordFor(term.epoch), this.signs), grant: leaseId }],
    );
  }

  /** Renews the grant at once: this process stood still, and may have been replaced. */
  renewNow(): void {
    const { renewal } = this;
    if (renewal === null) return;
    renewal.cancel();
    renewal.run();
  }

  private scheduleRenewal(waitMs: number): void {
    const run = (): void => {
      this.renewal = null;
      void this.renew().then((nextMs) => this.scheduleRenewal(nextMs));
    };
    this.renewal = { cancel: this.ctx.clock.after(waitMs, run), run };
  }

  /** Resolves with the time until the next renewal. */
  private async renew(): Promise<number> {
    const { clock, store } = this.ctx;
    const grant = this.leaseId;
    if (grant === null || !this.term) return this.ttl / 4;
    const sentAt = clock.now();
    const generation = this.failureDetection?.guard.generation ?? 0;
    try {
      const alive = await store.keepLeaseAlive(grant);
      if (this.leaseId !== grant) return this.ttl / 4;
      if (alive) {
        this.leaseValidUntil = plus(sentAt, minLocalDuration(this.ttl));
        this.failureDetection?.guard.reopen(generation);
      } else this.lose('the grant has ended');
    } catch (error) {
      this.ctx.log.info({ error: errorMessage(error), ms: since(clock.now(), sentAt) }, 'grant not renewed');
      // Users may have asked too much of the state service; leadership must not be lost to that.
      if (error instanceof StoreRefusedError) return RENEW_AGAIN_MS;
    }
    // The process stood still while the renewal was under way: that one confirmed nothing.
    return this.term && this.failureDetection?.guard.open === false ? RENEW_AGAIN_MS : this.ttl / 4;
  }

  private lose(why: string): void {
    this.term = null;
    this.leaseId = null;
    this.leaseValidUntil = null;
    this.failureDetection?.leadershipEnded();
    this.onLost(why);
  }
}
