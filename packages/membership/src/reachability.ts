/**
 * The reachability of members as a directed graph, with an edge for each direction in which messages pass. The graph
 * distinguishes one-way from two-way partitions, and partitions from a single peer from isolation.
 */
import type { MemberId } from './identity.js';
import type { AgedRow } from './observation-table.js';

/** Whether messages pass in a given direction of a link. */
export enum EdgeState {
  Up = 'works',
  Down = 'broken',
  /** No observation row covers this direction. */
  Unknown = 'unknown',
}

/** How a member is connected to the other members. The values are part of the API for operators. */
export enum Connection {
  /** No link with a present member is known to be down in either direction. */
  Connected = 'connected',
  /** At least one link is down, but the member is reachable through other members, so its state does not change. */
  PartialPartition = 'partly-cut',
  /** The member receives messages, but its own do not arrive: the others find it silent and may declare it failed. */
  OutboundPartition = 'mute',
  /**
   * The member's messages arrive, but it receives none: it stays suspected and is not declared failed, as it is alive.
   */
  InboundPartition = 'deaf',
  /** The member neither receives messages nor do its messages arrive. */
  Isolated = 'isolated',
  Unknown = 'unknown',
}

const isWithinWindow = (agoMs: number | null, windowMs: number): boolean =>
  agoMs !== null && agoMs <= windowMs;

/** The reachability graph, built from the observation rows of all members. */
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
        // An answered probe proves that both directions work; a received message proves only its own direction.
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

  /** Returns whether messages from `from` arrive at `to`. */
  edgeState(from: MemberId, to: MemberId): EdgeState {
    return this.edges.get(`${from} ${to}`) ?? EdgeState.Unknown;
  }

  private peersOf(member: MemberId): readonly MemberId[] {
    return this.members.filter((other) => other !== member);
  }

  /** Returns the members that receive messages from `member`. */
  receiversOf(member: MemberId): MemberId[] {
    return this.peersOf(member).filter((other) => this.edgeState(member, other) === EdgeState.Up);
  }

  /** Returns the members whose messages `member` receives. */
  private sendersTo(member: MemberId): MemberId[] {
    return this.peersOf(member).filter((other) => this.edgeState(other, member) === EdgeState.Up);
  }

  /** Returns the members of `among` whose link with `member` is down in at least one direction. */
  private partitionedFrom(member: MemberId, among: readonly MemberId[]): MemberId[] {
    return among.filter(
      (other) =>
        other !== member &&
        (this.edgeState(member, other) === EdgeState.Down ||
          this.edgeState(other, member) === EdgeState.Down),
    );
  }

  /** Classifies a member's connection. `present`: the members with which a working link is expected. */
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
