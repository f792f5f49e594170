/** This process as a member: who it is, and what it tells of itself and its peers. */
import type { Clock, Random, SelfReport } from './environment.js';
import {
  type Identity,
  type Incarnation,
  incarnationAbove,
  type MemberId,
  type ProcessId,
} from './identity.js';
import type { ObservationRow, PeerObservation, WordOnReceiver } from './messages.js';
import type { PeerTracker } from './peer-tracker.js';

const PROCESS_ID_CHARACTERS = 12;
const RADIX = 36;

/** A text that no other start of a process has. */
function newProcessId(random: Random): ProcessId {
  let text = '';
  for (let i = 0; i < PROCESS_ID_CHARACTERS; i++) text += Math.floor(random() * RADIX).toString(RADIX);
  return text as ProcessId;
}

/** What a word of a peer on this process came to. */
export enum WordOutcome {
  Nothing,
  /** An earlier process of this member had a higher incarnation; ours is above it now. */
  Outran,
  /** The peer suspected this process; its incarnation is higher now. */
  Refuted,
}

/** This member's own part of the protocol. */
export class LocalMember {
  private readonly process: ProcessId;
  private incarnation: Incarnation;
  private sequence = 0;
  private version = 0;
  private leavingNow = false;

  constructor(
    readonly member: MemberId,
    private readonly clock: Clock,
    random: Random,
    private readonly selfReport: () => SelfReport,
  ) {
    this.process = newProcessId(random);
    // Starts of one member mostly come in the order of the time of day; where they don't, peers tell.
    this.incarnation = Math.max(1, Math.floor(clock.wall())) as Incarnation;
  }

  get identity(): Identity {
    return { member: this.member, process: this.process, incarnation: this.incarnation };
  }

  get leaving(): boolean {
    return this.leavingNow;
  }

  leave(): void {
    this.leavingNow = true;
  }

  /** The number of the next message. */
  nextSequence(): number {
    this.sequence++;
    return this.sequence;
  }

  /** A peer tells what it knows of this member. */
  hear(word: WordOnReceiver | null): WordOutcome {
    if (word === null || word.identity.member !== this.member) return WordOutcome.Nothing;
    const { identity, suspected } = word;
    if (identity.incarnation < this.incarnation) return WordOutcome.Nothing;
    if (identity.process !== this.process) {
      this.incarnation = incarnationAbove(this.incarnation, identity.incarnation);
      return WordOutcome.Outran;
    }
    if (!suspected) return WordOutcome.Nothing;
    this.incarnation = incarnationAbove(this.incarnation, identity.incarnation);
    return WordOutcome.Refuted;
  }

  /** What this process observes now, as it is told to the others. */
  row(trackers: Iterable<PeerTracker>, localHealth: number): ObservationRow {
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
      leaving: this.leavingNow,
      load: Math.min(1, Math.max(0, load)),
      ready: ready && !this.leavingNow,
      localHealth,
      peers,
    };
  }
}
