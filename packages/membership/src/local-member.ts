/** This process as a member: its identity, and the observation row that it publishes. */
import type { Clock, Random, SelfReport } from './environment.js';
import {
  type Identity,
  type Incarnation,
  incarnationAbove,
  type MemberId,
  type ProcessId,
} from './identity.js';
import type { ObservationRow, PeerObservation, ReceiverStatus } from './messages.js';
import type { PeerTracker } from './peer-tracker.js';

const PROCESS_ID_CHARACTERS = 12;
const RADIX = 36;

/** Returns a random string that no other start of a process has. */
function newProcessId(random: Random): ProcessId {
  let processId = '';
  for (let index = 0; index < PROCESS_ID_CHARACTERS; index++)
    processId += Math.floor(random() * RADIX).toString(RADIX);
  return processId as ProcessId;
}

/** What a peer's statement about this process led to. */
export enum ReceiverStatusOutcome {
  NoChange,
  /** An earlier process of this member had the same or a higher incarnation; ours is above it now. */
  SupersededEarlierProcess,
  /** The peer suspected this process, which raised its incarnation to refute that. */
  Refuted,
}

/** The identity of this process, and the counters that order its messages and rows. */
export class LocalMember {
  private readonly process: ProcessId;
  private incarnation: Incarnation;
  private sequence = 0;
  private version = 0;
  private leaveRequested = false;

  constructor(
    readonly member: MemberId,
    private readonly clock: Clock,
    random: Random,
    private readonly selfReport: () => SelfReport,
  ) {
    this.process = newProcessId(random);
    // Successive starts of a member mostly have increasing times of day. Where they do not, peers report the incarnation
    // that has to be exceeded.
    this.incarnation = Math.max(1, Math.floor(clock.wall())) as Incarnation;
  }

  get identity(): Identity {
    return { member: this.member, process: this.process, incarnation: this.incarnation };
  }

  /** Whether this member has begun to leave. */
  get isLeaving(): boolean {
    return this.leaveRequested;
  }

  /** Marks this member as leaving in everything that it publishes from now on. */
  leave(): void {
    this.leaveRequested = true;
  }

  /** Returns the sequence number of the next message. */
  nextSequence(): number {
    this.sequence++;
    return this.sequence;
  }

  /** Handles a peer's statement about this member: raises the incarnation where a suspicion or an earlier process requires it. */
  handleReceiverStatus(status: ReceiverStatus | null): ReceiverStatusOutcome {
    if (status === null || status.identity.member !== this.member) return ReceiverStatusOutcome.NoChange;
    const { identity, suspected } = status;
    if (identity.incarnation < this.incarnation) return ReceiverStatusOutcome.NoChange;
    if (identity.process !== this.process) {
      this.incarnation = incarnationAbove(this.incarnation, identity.incarnation);
      return ReceiverStatusOutcome.SupersededEarlierProcess;
    }
    if (!suspected) return ReceiverStatusOutcome.NoChange;
    this.incarnation = incarnationAbove(this.incarnation, identity.incarnation);
    return ReceiverStatusOutcome.Refuted;
  }

  /** Returns what this process observes now, in the form that peers receive. Every call has a new version. */
  observationRow(trackers: Iterable<PeerTracker>, localHealth: number): ObservationRow {
    const now = this.clock.now();
    const peers: PeerObservation[] = [];
    for (const tracker of trackers) {
      const observation = tracker.observation(now);
      if (observation) peers.push(observation);
    }
    const { load, ready } = this.selfReport();
    this.version++;
    return {
      observer: this.identity,
      version: this.version,
      ageMs: 0,
      leaving: this.leaveRequested,
      load: Math.min(1, Math.max(0, load)),
      ready: ready && !this.leaveRequested,
      localHealth,
      peers,
    };
  }
}
