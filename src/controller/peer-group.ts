/** The links to all other controllers, and the messages and requests sent over these links. */
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
import type { MemberEntry } from '../wire/members.js';
import type { PeerAddress } from '../wire/settings.js';

/** The states shown to operators while failure detection is disabled: whether a link to the controller is connected. */
const LINKED = 'linked';
const NOT_LINKED = 'no link';
const OK_STATUS = 200;

/** The state that this controller reports to its peers. */
export interface LocalState {
  /** Returns the content of this controller's pings. */
  ping(): Ping;
  /** Returns the epoch in which this controller leads; null: this controller does not lead. */
  leadingEpoch(): Epoch | null;
  /**
   * Returns the leader record as this controller last read or wrote it; null: there is no leader record, the record was
   * not read yet, or it cannot be decoded.
   */
  observedLeader(): LeaderRecord | null;
}

/** Receives the events of the peer links. */
export interface PeerListener {
  /** Is called when another controller's ping reports that the controller leads `epoch`. */
  onPeerLeading(epoch: Epoch): void;
  /**
   * Is called, possibly more than once, when every other controller has shown a version that supports confirmed
   * cancellations and split progress records.
   */
  onAllUpgraded(): void;
}

/** The options of `PeerGroup`. */
export interface PeerGroupOptions {
  readonly peers: readonly PeerAddress[];
  readonly clock: Clock;
  readonly log: Logger;
  readonly cancellations: ConfirmedCancellations;
  readonly localState: LocalState;
  readonly listener: PeerListener;
}

/** The group of all other controllers. */
export class PeerGroup implements PeerStatusSource {
  readonly links: readonly PeerLink[];
  private readonly log: Logger;
  private readonly cancellations: ConfirmedCancellations;
  private readonly localState: LocalState;
  private readonly listener: PeerListener;
  /** The controllers that have shown a version which supports confirmed cancellations. */
  private readonly upgradedMembers = new Set<MemberId>();
  /** The last protocol version received from each controller; entries are kept while a controller is disconnected. */
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
          onPeerVersionReceived: (link) => this.onPeerVersionReceived(link),
        }),
    );
    cancellations.onLearned((ids) => this.broadcastCancellations(this.links, ids));
  }

  /** Starts the links to all other controllers. */
  start(): void {
    for (const link of this.links) link.start();
  }

  /** The links to the other controllers that are currently connected. */
  get connected(): readonly PeerLink[] {
    return this.links.filter((link) => link.isConnected);
  }

  /**
   * Returns whether the last observed leader, if there is one, and every connected controller, any of which could lead
   * next, support `version`.
   */
  allCandidatesSupport(version: number): boolean {
    const leader = this.localState.observedLeader();
    if (leader !== null && leader.version < version) return false;
    return this.connected.every((link) => link.supports(version));
  }

  /**
   * Returns whether the last protocol version received from every other controller, connected or not, is at least
   * `version`.
   */
  everyPeerHasSupported(version: number): boolean {
    return this.links.every(({ member }) => (this.lastVersions.get(member) ?? UNVERSIONED) >= version);
  }

  /**
   * Returns the link to the connected controller that reports the newest leading epoch in its pings or, if none reports
   * an epoch, to the leader named by the last read leader record; undefined: no such controller is connected.
   */
  leaderLink(): PeerLink | undefined {
    const leadingLinks = this.connected.filter((link) => link.lastPing?.leadingEpoch != null);
    leadingLinks.sort(
      (left, right) => (right.lastPing?.leadingEpoch ?? 0) - (left.lastPing?.leadingEpoch ?? 0),
    );
    const observedLeader = this.localState.observedLeader()?.member;
    return leadingLinks[0] ?? this.connected.find((link) => link.member === observedLeader);
  }

  /** Returns this controller's status with its confirmed cancellations, limited to `jobs` if given. */
  status(jobs?: readonly JobId[]): PeerStatus {
    return {
      uptime: this.cancellations.uptime,
      leadingEpoch: this.localState.leadingEpoch(),
      cancellations: this.cancellations.list(jobs),
    };
  }

  /**
   * Returns the list of all controllers for operators while failure detection is disabled, when only link states are
   * known.
   */
  memberEntries(self: MemberId): MemberEntry[] {
    const leader = this.localState.observedLeader();
    const createEntry = (member: MemberId, state: string, load: number | null): MemberEntry => ({
      member,
      state,
      forMs: 0,
      connection: 'unknown',
      load,
      ready: state === LINKED,
      evidence: [],
      owns: leader?.member === member ? [`cluster (epoch ${leader.epoch})`] : [],
    });
    const peerEntries = this.links.map((link) =>
      createEntry(link.member, link.isConnected ? LINKED : NOT_LINKED, link.lastPing?.load ?? null),
    );
    return [createEntry(self, LINKED, this.localState.ping().load), ...peerEntries];
  }

  /**
   * Requests the status of each other controller; null for a controller that is not connected, doesn't support the
   * request, doesn't respond, or responds with an error or an undecodable status.
   */
  collectStatus(deadlineMs: number): Promise<(PeerStatus | null)[]> {
    const payload = encodePeerStatus(this.status());
    return Promise.all(this.links.map((link) => this.requestStatus(link, payload, deadlineMs)));
  }

  private async requestStatus(
    link: PeerLink,
    payload: Buffer,
    deadlineMs: number,
  ): Promise<PeerStatus | null> {
    const response = link.supportsConfirmedCancellations
      ? await link.request(FrameKind.ConfirmedCancellations, payload, deadlineMs)
      : null;
    if (response?.status !== OK_STATUS) return null;
    try {
      return decodePeerStatus(response.body);
    } catch (error) {
      this.log.debug({ member: link.member, error: errorMessage(error) }, 'failed to decode peer status');
      return null;
    }
  }

  /** Handles the version that a controller sends on a new connection. */
  private onPeerVersionReceived(link: PeerLink): void {
    this.lastVersions.set(link.member, link.lastPing?.version ?? UNVERSIONED);
    if (!link.supportsConfirmedCancellations) {
      this.warnIfDowngraded(link);
      return;
    }
    // The peer may have missed cancellations while it was disconnected.
    this.broadcastCancellations([link]);
    this.upgradedMembers.add(link.member);
    // A member of `upgradedMembers` is never removed, because downgrading a controller is not supported.
    if (this.upgradedMembers.size === this.links.length) this.listener.onAllUpgraded();
  }

  /**
   * Warns if a controller was downgraded, which is not supported once dependent jobs or split records exist
   * (docs/upgrade.md).
   */
  private warnIfDowngraded(link: PeerLink): void {
    if (!this.upgradedMembers.has(link.member)) return;
    this.log.warn(
      { member: link.member },
      'controller downgraded: dependent jobs are refused while it is connected, and it must not lead while any is open',
    );
  }

  private broadcastCancellations(links: readonly PeerLink[], jobs?: readonly JobId[]): void {
    const receivers = links.filter((link) => link.supportsConfirmedCancellations);
    if (receivers.length === 0) return;
    const payload = encodePeerStatus(this.status(jobs));
    for (const link of receivers) link.send(FrameKind.ConfirmedCancellations, 0, payload);
  }
}
