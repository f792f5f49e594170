/** A controller's leadership: campaigns in the election and, while elected, runs the leader. */
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

/** How long a leader that resigned because it received no worker's heartbeat pauses its candidacy. */
const PARTITIONED_CANDIDACY_PAUSE_MS = 15_000;

/** Creates the leader when this controller is elected and discards the leader when the term ends. */
export class Leadership implements LeadershipHandle {
  readonly election: Election;
  /**
   * How long a leader may continue to answer heartbeats after its lease has expired or, if later, after the last poll
   * in which every peer answered. Such a leader sends no commands except stops of cancelled tasks.
   */
  readonly maxRenewalWithoutQuorum: Millis;
  private currentLeader: Leader | null = null;

  constructor(
    private readonly ctx: ControllerContext,
    /** Resolves once this controller has loaded the data that a leader needs. */
    private readonly whenPrepared: () => Promise<void>,
  ) {
    // A worker whose heartbeats a deposed leader still answers must lose its tasks within the cancellation limit.
    this.maxRenewalWithoutQuorum = maxRenewalWithoutQuorum(ctx);
    this.election = new Election(ctx, {
      onElected: (term) => this.startTerm(term),
      onLost: (reason) => this.endTerm(reason),
    });
  }

  /** The leader running in this process; null: this controller does not lead. */
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

  /** Whether the leader record that this controller last read names a leader, which may be this controller. */
  get isLeaderObserved(): boolean {
    return this.election.observedLeader !== null;
  }

  /** Starts the candidacy, which lasts until `resignPermanently`. */
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

  /** Handles another controller's claim to lead `epoch`: this controller's term ends if that epoch is newer. */
  onPeerLeading(epoch: Epoch): void {
    const { leader } = this;
    if (leader && epoch > leader.epoch) leader.end('a peer leads a newer epoch');
  }

  /** Passes a heartbeat to the leader and resolves with the outcome; null: this controller does not lead. */
  async handleHeartbeat(heartbeat: Heartbeat, receivedBy: MemberId): Promise<HeartbeatOutcome | null> {
    if (!this.currentLeader) return null;
    return this.currentLeader.handleHeartbeat(heartbeat, receivedBy);
  }

  private startTerm(term: LeadershipTerm): void {
    const leader = new Leader(this.ctx, term, this.election.lease, (reason) => {
      if (this.currentLeader === leader) this.currentLeader = null;
      this.resign(reason);
    });
    this.currentLeader = leader;
    this.ctx.log.info({ epoch: term.epoch }, 'elected');
    // An error during the start is a program fault and reaches the process's handler of unhandled rejections.
    void this.whenPrepared().then(() => leader.start());
  }

  private resign(reason: TermEndReason): void {
    const candidacyPauseMs = reason === 'no worker heartbeats received' ? PARTITIONED_CANDIDACY_PAUSE_MS : 0;
    // The promise never rejects: a lease that could not be revoked expires after its time to live.
    void this.election.resign(candidacyPauseMs);
  }
}
