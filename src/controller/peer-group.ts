/** The links to all other controllers, and what is sent and requested over them. */
import type { ConfirmedCancellations } from '../core/confirmed-cancellations.js';
import type { PeerStatusSource } from '../core/context.js';
import { errorMessage, type Logger } from '../log/logger.js';
import type { Epoch, JobId, MemberId } from '../model/ids.js';
import { UNVERSIONED } from '../model/protocol.js';
import type { Clock } from '../model/time.js';
import { FrameKind } from '../peer/frames.js';
import { PeerLink } from '../peer/link.js';
import { decodePeerStatus, encodePeerStatus, type PeerStatus } from '../peer/peer-status.js';
import type { Ping } from '../peer/ping.js';
import type { LeaderRecord } from '../store/leader-record.js';
import type { MemberLine } from '../wire/members.js';
import type { PeerAddress } from '../wire/settings.js';

/** States for operators where no failure detection runs: whether there is a link. */
const LINKED = 'linked';
const NOT_LINKED = 'no link';
const OK_STATUS = 200;

/** What this controller says of itself. */
export interface LocalState {
  ping(): Ping;
  /** The epoch that this controller leads; null: it does not lead. */
  leadingEpoch(): Epoch | null;
  /** The leader's record as this controller last read it. */
  observedLeader(): LeaderRecord | null;
}

/** Whom the group notifies of what the others say. */
export interface PeerListener {
  /** Another controller says that it leads. */
  onPeerLeading(epoch: Epoch): void;
  /** Every other controller has shown that it accepts confirmed cancellations and split records of progress. */
  onAllUpgraded(): void;
}

/** What a group of peers is made of. */
export interface PeerGroupOptions {
  readonly peers: readonly PeerAddress[];
  readonly clock: Clock;
  readonly log: Logger;
  readonly cancellations: ConfirmedCancellations;
  readonly localState: LocalState;
  readonly listener: PeerListener;
}

/** All other controllers. */
export class PeerGroup implements PeerStatusSource {
  readonly links: readonly PeerLink[];
  private readonly log: Logger;
  private readonly cancellations: ConfirmedCancellations;
  private readonly localState: LocalState;
  private readonly listener: PeerListener;
  private readonly upgraded = new Set<MemberId>();
  /** The protocol version that each controller last showed; it stays while there is no link. */
  private readonly lastVersions = new Map<MemberId, number>();

  constructor({ peers, clock, log, cancellations, localState, listener }: PeerGroupOptions) {
    this.log = log;
    this.cancellations = cancellations;
    this.localState = localState;
    this.listener = listener;
    this.links = peers.map(
      ({ member, address }) =>
        new PeerLink({
          member,
          address,
          clock,
          log,
          localPing: () => localState.ping(),
          onPing: ({ leadingEpoch }) => {
            if (leadingEpoch !== null) listener.onPeerLeading(leadingEpoch);
          },
          onVersion: (link) => this.onVersion(link),
        }),
    );
    cancellations.onLearned((ids) => this.broadcastCancellations(this.links, ids));
  }

  /** Connects to all of them. */
  start(): void {
    for (const link of this.links) link.start();
  }

  /** Controllers that are heard, without this one. */
  get connected(): readonly PeerLink[] {
    return this.links.filter((link) => link.isConnected);
  }

  /** Whether the last observed leader and every connected controller, each of which could lead next, have this version. */
  allSupport(version: number): boolean {
    const leader = this.localState.observedLeader();
    if (leader !== null && leader.version < version) return false;
    return this.connected.every((link) => link.supports(version));
  }

  /** Whether every other controller last showed at least this version, be it connected now or not. */
  everyPeerHasSupported(version: number): boolean {
    return this.links.every(({ member }) => (this.lastVersions.get(member) ?? UNVERSIONED) >= version);
  }

  /** The link to the leader, by the leader's own pings or by the record that was last read. */
  leaderLink(): PeerLink | undefined {
    const leading = this.connected.filter((link) => link.lastPing?.leadingEpoch != null);
    leading.sort((left, right) => (right.lastPing?.leadingEpoch ?? 0) - (left.lastPing?.leadingEpoch ?? 0));
    const observedLeader = this.localState.observedLeader()?.member;
    return leading[0] ?? this.connected.find((link) => link.member === observedLeader);
  }

  /** What this controller knows of confirmed cancellations: all of them, or those of these jobs. */
  status(jobs?: readonly JobId[]): PeerStatus {
    return {
      uptime: this.cancellations.uptime,
      leadingEpoch: this.localState.leadingEpoch(),
      cancellations: this.cancellations.list(jobs),
    };
  }

  /** All controllers for an operator, where nothing but their links is known of them. */
  memberLines(self: MemberId): MemberLine[] {
    const leader = this.localState.observedLeader();
    const lineOf = (member: MemberId, state: string, load: number | null): MemberLine => ({
      member,
      state,
      forMs: 0,
      connection: 'unknown',
      load,
      ready: state === LINKED,
      evidence: [],
      owns: leader?.member === member ? [`cluster (epoch ${leader.epoch})`] : [],
    });
    const others = this.links.map((link) =>
      lineOf(link.member, link.isConnected ? LINKED : NOT_LINKED, link.lastPing?.load ?? null),
    );
    return [lineOf(self, LINKED, this.localState.ping().load), ...others];
  }

  /** Asks each of the others for its status; null for one that doesn't respond or doesn't support that. */
  collectStatus(deadlineMs: number): Promise<(PeerStatus | null)[]> {
    const payload = encodePeerStatus(this.status());
    return Promise.all(this.links.map((link) => this.requestStatus(link, payload, deadlineMs)));
  }

  private async requestStatus(
    link: PeerLink,
    payload: Buffer,
    deadlineMs: number,
  ): Promise<PeerStatus | null> {
    const response = link.supportsCancellations
      ? await link.request(FrameKind.ConfirmedCancellations, payload, deadlineMs)
      : null;
    if (response?.status !== OK_STATUS) return null;
    try {
      return decodePeerStatus(response.body);
    } catch (error) {
      this.log.debug({ member: link.member, error: errorMessage(error) }, 'peer status unreadable');
      return null;
    }
  }

  /** A controller has shown its version on a new connection. */
  private onVersion(link: PeerLink): void {
    this.lastVersions.set(link.member, link.lastPing?.version ?? UNVERSIONED);
    if (!link.supportsCancellations) {
      this.warnOfDowngrade(link);
      return;
    }
    // Whatever it missed while there was no connection.
    this.broadcastCancellations([link]);
    this.upgraded.add(link.member);
    // One that has once shown its version comes back with no earlier one.
    if (this.upgraded.size === this.links.length) this.listener.onAllUpgraded();
  }

  /** Going back is not supported once dependent jobs or split records exist (docs/upgrade.md). */
  private warnOfDowngrade(link: PeerLink): void {
    if (!this.upgraded.has(link.member)) return;
    this.log.warn(
      { member: link.member },
      'controller downgraded: dependent jobs are refused while it is connected, and it must not lead while any is open',
    );
  }

  private broadcastCancellations(links: readonly PeerLink[], jobs?: readonly JobId[]): void {
    const receivers = links.filter((link) => link.supportsCancellations);
    if (receivers.length === 0) return;
    const payload = encodePeerStatus(this.status(jobs));
    for (const link of receivers) link.send(FrameKind.ConfirmedCancellations, 0, payload);
  }
}
