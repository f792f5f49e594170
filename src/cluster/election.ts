import { reason } from '../log/logger.js';
import type { Epoch, GrantId, Revision } from '../model/ids.js';
import { NO_REVISION } from '../model/ids.js';
import { PROTOCOL_VERSION } from '../model/protocol.js';
import { atLeast, type Millis, ms, type Steady, plus, since, sleep } from '../model/time.js';
import { StateRefused } from '../store/client.js';
import { keys } from '../store/keys.js';
import { encodeLeader, epochOf, type LeaderRecord, leaderRecord } from '../store/leader-record.js';
import type { NodeContext } from './context.js';

/** A leadership that this node has taken. */
export interface Won {
  readonly epoch: Epoch;
  readonly epochRevision: Revision;
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
  leader: LeaderRecord | null = null;

  constructor(
    private readonly ctx: NodeContext,
    private readonly onWon: (won: Won) => void,
    private readonly onLost: (why: string) => void,
  ) {}

  private get ttl(): number {
    return this.ctx.ops.cluster.grant_s * 1000;
  }

  /** Whether the grant surely lives. */
  sure(): boolean {
    return this.sureUntil !== null && this.ctx.clock.now() < this.sureUntil;
  }

  /** How long ago the grant stopped being sure. */
  unsureFor(): Millis {
    return ms(this.sureUntil === null ? Infinity : Math.max(0, this.ctx.clock.now() - this.sureUntil));
  }

  run(): void {
    void this.standing();
    void this.renewing();
  }

  /** Gives the leadership up; another node may take it at once. */
  async resign(pauseMs: number): Promise<void> {
    this.leading = null;
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

  private async standing(): Promise<void> {
    const { clock, store } = this.ctx;
    for (;;) {
      try {
        const page = await store.range(keys.leader);
        const row = page.rows.find((r) => r.key === keys.leader);
        this.leader = row ? leaderRecord(row.value) : null;
        const paused = this.notBefore !== null && clock.now() < this.notBefore;
        if (!this.leading && !paused && (!row || this.leader?.member === this.ctx.member)) {
          await this.tryTakeover(row?.revision ?? NO_REVISION);
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

  private async tryTakeover(leaderRevision: Revision): Promise<void> {
    const { store, member, clock } = this.ctx;
    const epochRow = await store.get(keys.epoch);
    const epoch = (epochOf(epochRow?.value) + 1) as Epoch;
    const sentAt = clock.now();
    const grant = await store.grant(this.ttl);
    const result = await store.commit(
      [
        { key: keys.leader, revision: leaderRevision },
        { key: keys.epoch, revision: epochRow?.revision ?? NO_REVISION },
      ],
      [
        { set: keys.leader, value: encodeLeader({ member, epoch, version: PROTOCOL_VERSION }), grant },
        { set: keys.epoch, value: { n: epoch } },
      ],
    );
    if (!result.ok) {
      await store.release(grant);
      await sleep(clock, this.ctx.random() * 50);
      return;
    }
    this.grant = grant;
    this.sureUntil = plus(sentAt, atLeast(this.ttl));
    this.leading = { epoch, epochRevision: result.revision };
    this.leader = { member: member, epoch, version: PROTOCOL_VERSION };
    this.onWon(this.leading);
  }

  private async renewing(): Promise<void> {
    const { clock, store } = this.ctx;
    let wait = this.ttl / 4;
    for (;;) {
      await sleep(clock, wait);
      wait = this.ttl / 4;
      const grant = this.grant;
      if (grant === null || !this.leading) continue;
      const sentAt = clock.now();
      try {
        const alive = await store.touch(grant);
        if (this.grant !== grant) continue;
        if (alive) this.sureUntil = plus(sentAt, atLeast(this.ttl));
        else this.lose('the grant has ended');
      } catch (error) {
        this.ctx.log.info({ error: reason(error), ms: since(clock.now(), sentAt) }, 'grant not renewed');
        // Users may have asked too much of the state service; leadership must not be lost to that.
        if (error instanceof StateRefused) wait = RENEW_AGAIN_MS;
      }
    }
  }

  private lose(why: string): void {
    this.leading = null;
    this.grant = null;
    this.sureUntil = null;
    this.onLost(why);
  }
}
