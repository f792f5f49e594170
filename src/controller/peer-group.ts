/** The links to all other controllers, and what is said and asked over them. */
import { type Logger, errorMessage } from '../log/logger.js';
import type { Epoch, JobId } from '../model/ids.js';
import { UNVERSIONED } from '../model/protocol.js';
import type { Clock } from '../model/time.js';
import {
  type PeerStatus,
  decodeCancellations,
  encodeCancellations,
  FrameKind,
  type Ping,
} from '../peer/frames.js';
import { PeerLink } from '../peer/link.js';
import type { LeaderRecord } from '../store/leader-record.js';
import type { MemberLine } from '../wire/members.js';
import type { PeerAddress } from '../wire/settings.js';
import type { ConfirmedCancellations } from '../core/confirmed-cancellations.js';
import type { PeerStatusSource } from '../core/context.js';

/** States for operators where no failure detection runs: whether there is a link. */
const LINKED = 'linked';
const NOT_LINKED = 'no link';

/** What this node says of itself. */
export interface OwnState {
  ping(): Ping;
  /** The epoch that this node leads; null: it does not lead. */
  leading(): Epoch | null;
  /** The last record of a leader that this node saw. */
  leaderRecord(): LeaderRecord | null;
}

/** Is told what the others say. */
export interface PeerListener {
  /** Another node says that it leads. */
  heardOfLeader(epoch: Epoch): void;
  /** Every other controller has shown that it takes confirmed cancellations and split records of progress. */
  allUpgraded(): void;
}

/** All other controllers. */
export class PeerGroup implements PeerStatusSource {
  readonly links: readonly PeerLink[];
  private readonly upgraded = new Set<string>();
  /** The protocol version that each controller last showed; it stays while there is no link. */
  private readonly shown = new Map<string, number>();

  constructor(
    siblings: readonly PeerAddress[],
    clock: Clock,
    private readonly log: Logger,
    private readonly confirmed: ConfirmedCancellations,
    private readonly own: OwnState,
    private readonly listener: PeerListener,
  ) {
    this.links = siblings.map(
      ({ member, address }) =>
        new PeerLink(
          member,
          address,
          clock,
          log,
          () => own.ping(),
          (ping) => {
            if (ping.leadingEpoch !== null) listener.heardOfLeader(ping.leadingEpoch);
          },
          (link) => this.versionTold(link),
        ),
    );
    confirmed.onLearned((ids) => this.broadcastCancellations(this.links, ids));
  }

  start(): void {
    for (const link of this.links) link.start();
  }

  /** Controllers that are heard, without this one. */
  get connected(): readonly PeerLink[] {
    return this.links.filter((link) => link.isConnected);
  }

  /** Whether the leader, as far as we know, and everybody around who could become one have this version. */
  allSupport(version: number): boolean {
    const leader = this.own.leaderRecord();
    if (leader !== null && leader.version < version) return false;
    return this.connected.every((link) => link.supports(version));
  }

  /** Whether every other controller last showed at least this version, be it heard now or not. */
  allHaveShownSupport(version: number): boolean {
    return this.links.every(({ member }) => (this.shown.get(member) ?? UNVERSIONED) >= version);
  }

  /** The node that leads, by its own word or by the last record that we saw. */
  leader(): PeerLink | undefined {
    const leading = this.connected.filter((link) => link.ping?.leadingEpoch != null);
    leading.sort((a, b) => (b.ping?.leadingEpoch ?? 0) - (a.ping?.leadingEpoch ?? 0));
    return leading[0] ?? this.connected.find((link) => link.member === this.own.leaderRecord()?.member);
  }

  /** What this node knows of confirmed cancellations: all of them, or those of these jobs. */
  status(which?: readonly JobId[]): PeerStatus {
    return {
      uptime: this.confirmed.uptime,
      leadingEpoch: this.own.leading(),
      cancellations: this.confirmed.list(which),
    };
  }

  /** All controllers for an operator, where nobody watches them but by their links. */
  lines(self: string): MemberLine[] {
    const leader = this.own.leaderRecord();
    const line = (member: string, state: string, load: number | null): MemberLine => ({
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
      line(link.member, link.isConnected ? LINKED : NOT_LINKED, link.ping?.load ?? null),
    );
    return [line(self, LINKED, this.own.ping().load), ...others];
  }

  /** Asks each of the others what it knows; null for one that doesn't answer or can't say. */
  collectStatus(deadlineMs: number): Promise<(PeerStatus | null)[]> {
    const payload = encodeCancellations(this.status());
    return Promise.all(this.links.map((link) => this.askOne(link, payload, deadlineMs)));
  }

  private async askOne(link: PeerLink, payload: Buffer, deadlineMs: number): Promise<PeerStatus | null> {
    const answer = link.supportsCancellations
      ? await link.request(FrameKind.Cancelled, payload, deadlineMs)
      : null;
    if (answer?.status !== 200) return null;
    try {
      return decodeCancellations(answer.body);
    } catch (error) {
      this.log.debug(
        { member: link.member, error: errorMessage(error) },
        'a list of cancellations cannot be read',
      );
      return null;
    }
  }

  private versionTold(link: PeerLink): void {
    this.shown.set(link.member, link.ping?.version ?? UNVERSIONED);
    if (!link.supportsCancellations) {
      this.warnOfDowngrade(link);
      return;
    }
    // Whatever it missed while there was no connection.
    this.broadcastCancellations([link]);
    this.upgraded.add(link.member);
    // Who has once shown its version comes back with no earlier one.
    if (this.upgraded.size === this.links.length) this.listener.allUpgraded();
  }

  /** Going back is not supported once dependent jobs or split records exist (docs/upgrade.md). */
  private warnOfDowngrade(link: PeerLink): void {
    if (!this.upgraded.has(link.member)) return;
    this.log.warn(
      { member: link.member },
      'a controller came back with an earlier version: dependent jobs are refused while it is there, and it must not lead while any is open',
    );
  }

  private broadcastCancellations(to: readonly PeerLink[], which?: readonly JobId[]): void {
    const takers = to.filter((link) => link.supportsCancellations);
    if (takers.length === 0) return;
    const payload = encodeCancellations(this.status(which));
    for (const link of takers) link.send(FrameKind.Cancelled, 0, payload);
  }
}
