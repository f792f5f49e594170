/**
 * Reachability as a directed graph: whose messages arrive where. Cuts in one direction are told from those in both,
 * and a member that is cut off from one peer from one that is cut off from all.
 */
import type { MemberId } from './identity.js';
import type { AgedRow } from './observation-table.js';

/** Whether messages pass in one direction. */
export enum EdgeState {
  Works = 'works',
  Broken = 'broken',
  /** Nobody who would know has told. */
  Unknown = 'unknown',
}

/** How a member is connected with the others. */
export enum Connection {
  /** It hears all and is heard by all, as far as is known. */
  Connected = 'connected',
  /** Some links are cut, and others go around them: it stays what it is. */
  PartlyCut = 'partly-cut',
  /** It hears others and is heard by none: to them it is silent, and they will replace it. */
  Mute = 'mute',
  /** It is heard, and hears none: it stays a suspect and is not failed, since it is there. */
  Deaf = 'deaf',
  /** Nothing passes in either direction. */
  Isolated = 'isolated',
  Unknown = 'unknown',
}

const withinWindow = (agoMs: number | null, windowMs: number): boolean => agoMs !== null && agoMs <= windowMs;

/** Who reaches whom, from the rows of all members. */
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
        const heard = withinWindow(peer.heardAgoMs, windowMs);
        const reached = withinWindow(peer.reachedAgoMs, windowMs);
        // An answer proves both directions; a message that was heard proves its own.
        this.note(member, observer, heard || reached);
        if (reached) this.note(observer, member, true);
      }
    }
  }

  private note(from: MemberId, to: MemberId, works: boolean): void {
    const key = `${from} ${to}`;
    if (works) this.edges.set(key, EdgeState.Works);
    else if (!this.edges.has(key)) this.edges.set(key, EdgeState.Broken);
  }

  /** Whether messages of `from` arrive at `to`. */
  edge(from: MemberId, to: MemberId): EdgeState {
    return this.edges.get(`${from} ${to}`) ?? EdgeState.Unknown;
  }

  private peersOf(member: MemberId): readonly MemberId[] {
    return this.members.filter((other) => other !== member);
  }

  /** Members that hear this one. */
  hearersOf(member: MemberId): MemberId[] {
    return this.peersOf(member).filter((other) => this.edge(member, other) === EdgeState.Works);
  }

  /** Members that this one hears. */
  private heardBy(member: MemberId): MemberId[] {
    return this.peersOf(member).filter((other) => this.edge(other, member) === EdgeState.Works);
  }

  /** Members out of `among` with which no message passes in at least one direction. */
  private cutFrom(member: MemberId, among: readonly MemberId[]): MemberId[] {
    return among.filter(
      (other) =>
        other !== member &&
        (this.edge(member, other) === EdgeState.Broken || this.edge(other, member) === EdgeState.Broken),
    );
  }

  /** `present`: the members with which there should be links. */
  connectionOf(member: MemberId, present: readonly MemberId[]): Connection {
    const hearers = this.hearersOf(member).length;
    const heard = this.heardBy(member).length;
    if (hearers === 0 && heard === 0) {
      return this.cutFrom(member, this.members).length > 0 ? Connection.Isolated : Connection.Unknown;
    }
    if (hearers === 0) return Connection.Mute;
    if (heard === 0) return Connection.Deaf;
    return this.cutFrom(member, present).length > 0 ? Connection.PartlyCut : Connection.Connected;
  }
}
