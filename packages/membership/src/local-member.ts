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

/** Returns a random string that identifies this start of the process. */
function newProcessId(random: Random): ProcessId {
  let processId = '';
  for (let index = 0; index < PROCESS_ID_CHARACTERS; index++)
    processId += Math.floor(random() * RADIX).toString(RADIX);
  return processId as ProcessId;
}

/** The effect of a peer's statement about this process. */
export enum ReceiverStatusOutcome {
  NoChange,
  /**
   * An earlier process of this member had the same or a higher incarnation; the local incarnation was raised above it.
   */
  SupersededEarlierProcess,
  /** The peer suspected this process, which raised its incarnation to refute the suspicion. */
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
    // The wall clock usually increases between starts of a member. If not, peers report the incarnation that this
    // process has to exceed.
    this.incarnation = Math.max(1, Math.floor(clock.wall())) as Incarnation;
  }

  get identity(): Identity {
    return { member: this.member, process: this.process, incarnation: this.incarnation };
  }

  /** Whether this member has begun to leave. */
  get isLeaving(): boolean {
    return this.leaveRequested;
  }

  /** Marks this member as leaving in all observation rows that it publishes from now on. */
  leave(): void {
    this.leaveRequested = true;
  }

  /** Increments the message counter and returns the sequence number for the next message. */
  nextSequence(): number {
    this.sequence++;
    return this.sequence;
  }

  /**
   * Handles a peer's statement about this member; raises the incarnation to refute a suspicion or to exceed that of an
   * earlier process.
   */
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

  /** Returns the current observations of this process as a row for peers. Every call assigns a new row version. */
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
