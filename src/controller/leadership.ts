/** A controller's part in leadership: stands for election and, while elected, runs the leader. */
import type { ControllerContext } from '../core/context.js';
import type { HeartbeatOutcome } from '../leader/heartbeat-handler.js';
import { Leader } from '../leader/leader.js';
import { maxRenewalWithoutQuorum } from '../leader/worker-lease-policy.js';
import { Election } from '../leadership/election.js';
import type { LeadershipHandle } from '../leadership/leadership-handle.js';
import type { LeadershipTerm } from '../leadership/term.js';
import type { Heartbeat } from '../model/heartbeat.js';
import type { Epoch, MemberId } from '../model/ids.js';
import type { TermEndReason } from '../model/term-end-reason.js';
import type { Millis } from '../model/time.js';

/** A leader that hears no worker leaves the leadership to other controllers for this long. */
const PARTITIONED_CANDIDACY_PAUSE_MS = 15_000;

/** Holds the current leader, if this controller is elected, and ends it when the term is over. */
export class Leadership implements LeadershipHandle {
  readonly election: Election;
  /** How long a leader that lost its lease may go on answering heartbeats, without commands. */
  readonly maxRenewalWithoutQuorum: Millis;
  private currentLeader: Leader | null = null;

  constructor(
    private readonly ctx: ControllerContext,
    /** Resolves once this controller knows what a leader needs. */
    private readonly prepared: () => Promise<void>,
  ) {
    // A worker that an old leader still answers must lose its tasks within a cancellation's limit.
    this.maxRenewalWithoutQuorum = maxRenewalWithoutQuorum(ctx);
    this.election = new Election(ctx, {
      onElected: (term) => this.startTerm(term),
      onLost: (reason) => this.endTerm(reason),
    });
  }

  /** The leader that runs in this process; null: this controller does not lead. */
  get leader(): Leader | null {
    return this.currentLeader;
  }

  get leadingEpoch(): Epoch | null {
    return this.currentLeader?.epoch ?? null;
  }

  /** Whether this controller leads. */
  get isLeader(): boolean {
    return this.currentLeader !== null;
  }

  /** Whether this controller last saw any leader, itself included. */
  get isLeaderObserved(): boolean {
    return this.election.observedLeader !== null;
  }

  /** Stands for election until `resignPermanently`. */
  start(): void {
    this.election.start();
  }

  endTerm(reason: TermEndReason): void {
    this.currentLeader?.end(reason);
  }

  resignPermanently(): void {
    this.election.stopCampaigning();
    this.endTerm('controller shutting down');
  }

  /** Another controller says that it leads: the newer epoch is right. */
  onPeerLeading(epoch: Epoch): void {
    const { leader } = this;
    if (leader && epoch > leader.epoch) leader.end('a peer leads a newer epoch');
  }

  /** The leader's answer to a heartbeat; null: this controller does not lead. */
  async handleHeartbeat(heartbeat: Heartbeat, via: MemberId): Promise<HeartbeatOutcome | null> {
    if (!this.currentLeader) return null;
    return this.currentLeader.handleHeartbeat(heartbeat, via);
  }

  private startTerm(term: LeadershipTerm): void {
    const leader = new Leader(this.ctx, term, this.election.lease, (reason) => {
      if (this.currentLeader === leader) this.currentLeader = null;
      this.resign(reason);
    });
    this.currentLeader = leader;
    this.ctx.log.info({ epoch: term.epoch }, 'elected');
    // A failure to start is a fault of the program: it reaches the process's handler of unhandled rejections.
    void this.prepared().then(() => leader.start());
  }

  private resign(reason: TermEndReason): void {
    const candidacyPauseMs = reason === 'no worker heartbeats received' ? PARTITIONED_CANDIDACY_PAUSE_MS : 0;
    // Never rejects: a lease that cannot be revoked expires by itself.
    void this.election.resign(candidacyPauseMs);
  }
}
