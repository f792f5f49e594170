import { reason } from '../log/logger.js';
import type { Epoch, GrantId, Revision } from '../model/ids.js';
import { NO_REVISION } from '../model/ids.js';
import { PROTOCOL_VERSION } from '../model/protocol.js';
import {
  atLeast,
  atMost,
  type Cancel,
  type Millis,
  ms,
  type Steady,
  plus,
  since,
  sleep,
} from '../model/time.js';
import { StateRefused } from '../store/client.js';
import { keys } from '../store/keys.js';
import {
  encodeEpoch,
  encodeLeader,
  epochRecord,
  type LeaderRecord,
  leaderRecord,
} from '../store/leader-record.js';
import type { NodeContext } from '../core/context.js';

/** A leadership that this node has taken. */
export interface Won {
  readonly epoch: Epoch;
  readonly epochRevision: Revision;
  /** For how long after our takeover the former leader may still have been sure of its grant. */
  readonly formerSure: Millis;
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
export interface ElectionAid {
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
  private grant: GrantId | null = null;
  /** Our grant surely lives until then. */
  private sureUntil: Steady | null = null;
  private leading: Won | null = null;
  private notBefore: Steady | null = null;
  private aid: ElectionAid | null = null;
  private signs = 0;
  private retired = false;
  private renewal: { readonly cancel: Cancel; readonly run: () => void } | null = null;
  leader: LeaderRecord | null = null;

  constructor(
    private readonly ctx: NodeContext,
    private readonly onWon: (won: Won) => void,
    private readonly onLost: (why: string) => void,
  ) {}

  private get ttl(): number {
    return this.ctx.ops.cluster.grant_s * 1000;
  }

  /** The leadership that this node holds; null: none. */
  get held(): Won | null {
    return this.leading;
  }

  /** Failure detection is running from now on. */
  assist(aid: ElectionAid): void {
    this.aid = aid;
  }

  /** Whether the grant surely lives, and nobody can have replaced us while this process stood still. */
  sure(): boolean {
    if (this.sureUntil === null || this.ctx.clock.now() >= this.sureUntil) return false;
    return this.aid?.guard.open ?? true;
  }

  /** How long ago the grant stopped being sure. */
  unsureFor(): Millis {
    return ms(this.sureUntil === null ? Infinity : Math.max(0, this.ctx.clock.now() - this.sureUntil));
  }

  run(): void {
    void this.standing();
    this.scheduleRenewal(this.ttl / 4);
  }

  /** Gives the leadership up; another node may take it at once. */
  async resign(pauseMs: number): Promise<void> {
    this.leading = null;
    this.aid?.leadershipEnded();
    this.notBefore = plus(this.ctx.clock.now(), pauseMs);
    const grant = this.grant;
    this.grant = null;
    this.sureUntil = null;
    if (grant !== null) {
      try {
        await this.ctx.store.release(grant);
      } catch {
        // It ends by itself.
      }
    }
  }

  /** This node never stands again: its process is about to end. */
  retire(): void {
    this.retired = true;
  }

  private async standing(): Promise<void> {
    const { clock, store } = this.ctx;
    while (!this.retired) {
      try {
        const page = await store.range(keys.leader);
        const row = page.rows.find((r) => r.key === keys.leader);
        this.noteLeader(row ? leaderRecord(row.value) : null);
        const paused = this.notBefore !== null && clock.now() < this.notBefore;
        if (this.retired) return;
        if (!this.leading && !paused && (!row || this.leader?.member === this.ctx.member)) {
          await this.takeOver(row?.revision ?? NO_REVISION);
          continue;
        }
        if (paused && !row) {
          await sleep(clock, 300);
          continue;
        }
        await store.changes(keys.leader, page.revision, WATCH_MS);
      } catch (error) {
        this.ctx.log.debug({ error: reason(error) }, 'election waits');
        await sleep(clock, 100 + this.ctx.random() * 150);
      }
    }
  }

  private noteLeader(leader: LeaderRecord | null): void {
    const changed = leader?.epoch !== this.leader?.epoch;
    this.leader = leader;
    if (changed) this.aid?.leaderChanged();
  }

  /** A node that is no first choice leaves it to others for a moment, and stands if nobody took it. */
  private async takeOver(leaderRevision: Revision): Promise<void> {
    const standbyMs = leaderRevision === NO_REVISION ? (this.aid?.standbyMs() ?? 0) : 0;
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
    const former = epochRecord(epochRow?.value);
    const epoch = (former.epoch + 1) as Epoch;
    const sentAt = clock.now();
    const { aid } = this;
    const generation = aid?.guard.generation ?? 0;
    const grant = await store.grant(this.ttl);
    const record = this.recordFor(epoch);
    const result = await store.commit(
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
      await store.release(grant);
      await sleep(clock, this.ctx.random() * 50);
      return;
    }
    this.grant = grant;
    this.sureUntil = plus(sentAt, atLeast(this.ttl));
    aid?.guard.reopen(generation);
    this.leading = {
      epoch,
      epochRevision: result.revision,
      formerSure: former.early ? atMost(this.ttl) : ms(0),
    };
    this.noteLeader(record);
    this.onWon(this.leading);
  }

  private recordFor(epoch: Epoch): LeaderRecord {
    const record = { member: this.ctx.member, epoch, version: PROTOCOL_VERSION };
    return this.aid ? { ...record, process: this.aid.process } : record;
  }

  /**
   * Rewrites the leader's record under the same grant, so that its revision changes: a leader that its peers cannot
   * hear shows through the state service that it lives.
   */
  async showLife(): Promise<void> {
    const { grant, leading } = this;
    if (grant === null || leading === null) return;
    const row = await this.ctx.store.get(keys.leader);
    if (row?.grant !== grant) return;
    this.signs++;
    await this.ctx.store.commit(
      [
        { key: keys.leader, revision: row.revision },
        { key: keys.epoch, revision: leading.epochRevision },
      ],
      [{ set: keys.leader, value: encodeLeader(this.recordFor(leading.epoch), this.signs), grant }],
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
    const grant = this.grant;
    if (grant === null || !this.leading) return this.ttl / 4;
    const sentAt = clock.now();
    const generation = this.aid?.guard.generation ?? 0;
    try {
      const alive = await store.touch(grant);
      if (this.grant !== grant) return this.ttl / 4;
      if (alive) {
        this.sureUntil = plus(sentAt, atLeast(this.ttl));
        this.aid?.guard.reopen(generation);
      } else this.lose('the grant has ended');
    } catch (error) {
      this.ctx.log.info({ error: reason(error), ms: since(clock.now(), sentAt) }, 'grant not renewed');
      // Users may have asked too much of the state service; leadership must not be lost to that.
      if (error instanceof StateRefused) return RENEW_AGAIN_MS;
    }
    // The process stood still while the renewal was under way: that one confirmed nothing.
    return this.leading && this.aid?.guard.open === false ? RENEW_AGAIN_MS : this.ttl / 4;
  }

  private lose(why: string): void {
    this.leading = null;
    this.grant = null;
    this.sureUntil = null;
    this.aid?.leadershipEnded();
    this.onLost(why);
  }
}
