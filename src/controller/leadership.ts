import type { Epoch, MemberId } from '../model/ids.js';
import type { Millis } from '../model/time.js';
import type { Heartbeat } from '../model/heartbeat.js';
import { maxRenewalWithoutQuorum } from '../leader/worker-lease-policy.js';
import type { ControllerContext } from '../core/context.js';
import { Election, type LeadershipTerm } from '../leadership/election.js';
import { Leader } from '../leader/leader.js';
import type { HeartbeatOutcome } from '../leader/heartbeat-handler.js';

/** After hearing no worker, a node leaves the leadership to others for this long. */
const DEAF_PAUSE_MS = 15_000;

/** A node's part in leadership: it stands for election and, while elected, leads. */
export class Leadership {
  readonly election: Election;
  leader: Leader | null = null;
  /** How long a leader that lost its grant may go on answering reports, without orders. */
  readonly maxRenewalWithoutQuorum: Millis;

  constructor(
    private readonly ctx: ControllerContext,
    /** Resolves once the node knows what a leader needs. */
    private readonly prepared: () => Promise<void>,
  ) {
    // A worker that an old leader still answers must lose its tasks within a cancellation's limit.
    this.maxRenewalWithoutQuorum = maxRenewalWithoutQuorum(ctx);
    this.election = new Election(
      ctx,
      (won) => this.lead(won),
      (why) => this.leader?.end(why),
    );
  }

  run(): void {
    this.election.run();
  }

  private lead(won: LeadershipTerm): void {
    const leader = new Leader(this.ctx, won, this.election, (why) => {
      if (this.leader === leader) this.leader = null;
      void this.election.resign(why === 'no worker is heard' ? DEAF_PAUSE_MS : 0);
    });
    this.leader = leader;
    this.ctx.log.info({ epoch: won.epoch }, 'elected');
    void this.prepared().then(() => leader.start());
  }

  /** Gives the leadership up for good: another node takes over at once. */
  resignPermanently(): void {
    this.election.retire();
    this.leader?.end('this controller leaves');
  }

  /** Another node says that it leads: the newer epoch is right. */
  onPeerLeading(epoch: Epoch): void {
    if (this.leader && epoch > this.leader.epoch) this.leader.end('another node leads a newer epoch');
  }

  /** The leader's answer to a report; null: this node does not lead. */
  async handleHeartbeat(heartbeat: Heartbeat, via: MemberId): Promise<HeartbeatOutcome | null> {
    if (!this.leader) return null;
    return this.leader.handleHeartbeat(heartbeat, via);
  }
}
