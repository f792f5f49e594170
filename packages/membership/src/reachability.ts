/**
 * Reachability as a directed graph: whose messages arrive where. It distinguishes one-way from two-way partitions, and
 * a member that is cut off from one peer from one that is cut off from all.
 */
import type { MemberId } from './identity.js';
import type { AgedRow } from './observation-table.js';

/** Whether messages pass along one direction of a link. */
export enum EdgeState {
  Up = 'works',
  Down = 'broken',
  /** No row says anything about this direction. */
  Unknown = 'unknown',
}

/** How a member is connected with the others. The values appear in the API for operators. */
export enum Connection {
  /** Messages pass in both directions on all links, as far as is known. */
  Connected = 'connected',
  /** Some links are cut, but the member is reachable through others: its state does not change. */
  PartialPartition = 'partly-cut',
  /** It receives messages, but none of its own arrive: the others find it silent and will replace it. */
  OutboundPartition = 'mute',
  /** Its messages arrive, but it receives none: it stays suspected and is not declared failed, since it is alive. */
  InboundPartition = 'deaf',
  /** No message passes in either direction. */
  Isolated = 'isolated',
  Unknown = 'unknown',
}

const isWithinWindow = (agoMs: number | null, windowMs: number): boolean =>
  agoMs !== null && agoMs <= windowMs;

/** Answers who reaches whom, from the rows of all members. */
export class ReachabilityGraph {
  private readonly edges = new Map<string, EdgeState>();

  constructor(
    private readonly members: readonly MemberId[],
    rows: readonly AgedRow[],
    windowMs: number,
  ) {
    for (const { row } of rows) {
      const observer = row.observer.member;
      for (const peer of row.peers) {
        const { member } = peer.identity;
        const isHeard = isWithinWindow(peer.heardAgoMs, windowMs);
        const isReached = isWithinWindow(peer.reachedAgoMs, windowMs);
        // An answer proves both directions; a received message proves only its own.
        this.recordEdge(member, observer, isHeard || isReached);
        if (isReached) this.recordEdge(observer, member, true);
      }
    }
  }

  private recordEdge(from: MemberId, to: MemberId, isUp: boolean): void {
    const key = `${from} ${to}`;
    if (isUp) this.edges.set(key, EdgeState.Up);
    else if (!this.edges.has(key)) this.edges.set(key, EdgeState.Down);
  }

  /** Returns whether messages of `from` arrive at `to`. */
  edgeState(from: MemberId, to: MemberId): EdgeState {
    return this.edges.get(`${from} ${to}`) ?? EdgeState.Unknown;
  }

  private peersOf(member: MemberId): readonly MemberId[] {
    return this.members.filter((other) => other !== member);
  }

  /** Returns the members that receive messages of this one. */
  receiversOf(member: MemberId): MemberId[] {
    return this.peersOf(member).filter((other) => this.edgeState(member, other) === EdgeState.Up);
  }

  /** Returns the members whose messages this one receives. */
  private sendersTo(member: MemberId): MemberId[] {
    return this.peersOf(member).filter((other) => this.edgeState(other, member) === EdgeState.Up);
  }

  /** Returns the members of `among` whose link with this one is down in at least one direction. */
  private partitionedFrom(member: MemberId, among: readonly MemberId[]): MemberId[] {
    return among.filter(
      (other) =>
        other !== member &&
        (this.edgeState(member, other) === EdgeState.Down ||
          this.edgeState(other, member) === EdgeState.Down),
    );
  }

  /** Classifies a member's connection. `present`: the members with which links should exist. */
  connectionOf(member: MemberId, present: readonly MemberId[]): Connection {
    const receivers = this.receiversOf(member).length;
    const senders = this.sendersTo(member).length;
    if (receivers === 0 && senders === 0) {
      return this.partitionedFrom(member, this.members).length > 0 ? Connection.Isolated : Connection.Unknown;
    }
    if (receivers === 0) return Connection.OutboundPartition;
    if (senders === 0) return Connection.InboundPartition;
    return this.partitionedFrom(member, present).length > 0
      ? Connection.PartialPartition
      : Connection.Connected;
  }
}
