/** Routes workers' heartbeats to the leader, and its answers back. */
import type { ControllerContext } from '../core/context.js';
import type { Heartbeat } from '../model/heartbeat.js';
import type { MachineId, MemberId } from '../model/ids.js';
import { type Clock, since } from '../model/time.js';
import { parseJson } from '../net/http-client.js';
import { YieldingWorkQueue } from '../net/work-queue.js';
import { FrameKind, type PeerResponse } from '../peer/frames.js';
import type { Peer } from '../peer/peer.js';
import { encodeCommands, encodeRedirect, parseHeartbeat } from '../wire/workers.js';
import type { Leadership } from './leadership.js';
import { WorkerRedirects } from './worker-redirects.js';

/** How long a worker's heartbeat may take here, in the queue or at the leader. */
const RELAY_TIMEOUT_MS = 2500;
/** A heartbeat that goes through a third controller has two steps within that. */
const FORWARD_TIMEOUT_MS = RELAY_TIMEOUT_MS / 2;

const OK_STATUS = 200;
const BAD_REQUEST_STATUS = 400;
const MISDIRECTED_STATUS = 421;
const UNAVAILABLE_STATUS = 503;

/** The answer to a worker's heartbeat. */
export interface HeartbeatAnswer {
  readonly status: number;
  readonly body: Buffer | null;
}

const UNAVAILABLE: HeartbeatAnswer = { status: UNAVAILABLE_STATUS, body: null };

/** Kinds of frames that carry a heartbeat. */
export type HeartbeatFrameKind =
  FrameKind.Heartbeat | FrameKind.ForwardableHeartbeat | FrameKind.ForwardedHeartbeat;

/** What the router reads of the controllers. */
export interface HeartbeatPeers {
  readonly connected: readonly Peer[];
  /** The link to the leader; undefined: there is none. */
  leaderLink(): Peer | undefined;
}

/** What the router is made of. */
export interface HeartbeatRouterDependencies {
  readonly context: Pick<ControllerContext, 'member' | 'clock' | 'load'>;
  readonly leadership: Pick<Leadership, 'isLeader' | 'isLeaderObserved' | 'handleHeartbeat'>;
  readonly peers: HeartbeatPeers;
}

function badRequest(error: string): { status: number; body: Buffer } {
  return { status: BAD_REQUEST_STATUS, body: Buffer.from(JSON.stringify({ error })) };
}

/** The leader's response, if it is one for the worker: its commands, or that the heartbeat is malformed. */
function answerForWorker(response: PeerResponse | null): HeartbeatAnswer | null {
  if (response?.status !== OK_STATUS && response?.status !== BAD_REQUEST_STATUS) return null;
  return { status: response.status, body: Buffer.from(response.body) };
}

/**
 * The route of a heartbeat that came through two controllers, of which the leader knows only the second. The leader
 * compares routes for equality alone (`Worker.recordHeartbeat`): this one must differ from the second controller's
 * own, since the worker is with another one.
 */
const indirectRouteThrough = (member: MemberId): MemberId => `${member} and another` as MemberId;

/** Answers heartbeats itself while this controller leads; otherwise forwards them to the leader. */
export class HeartbeatRouter {
  private readonly member: MemberId;
  private readonly clock: Clock;
  private readonly leadership: HeartbeatRouterDependencies['leadership'];
  private readonly peers: HeartbeatPeers;
  private readonly redirects: WorkerRedirects;
  private readonly queue = new YieldingWorkQueue();

  constructor({ context, leadership, peers }: HeartbeatRouterDependencies) {
    this.member = context.member;
    this.clock = context.clock;
    this.leadership = leadership;
    this.peers = peers;
    this.redirects = new WorkerRedirects(context.clock, context.load);
  }

  /** Answers a heartbeat of a worker that is with this controller. */
  async handle(body: Buffer): Promise<HeartbeatAnswer> {
    // Whoever leads parses the heartbeat: one that is forwarded is not parsed here as well.
    if (this.leadership.isLeader) {
      if (!(await this.awaitTurn())) return UNAVAILABLE;
      const parsed = parseHeartbeat(parseJson(body));
      if (!parsed.ok) return badRequest(parsed.error);
      const redirect = this.redirectFor(parsed.value.machine);
      if (redirect) return { status: MISDIRECTED_STATUS, body: encodeRedirect(redirect) };
      const commands = await this.answerAsLeader(parsed.value, this.member);
      if (commands) return { status: OK_STATUS, body: commands };
    }
    return (await this.relay(body)) ?? UNAVAILABLE;
  }

  /** Answers a heartbeat that another controller forwards; null: this controller can't have it answered. */
  async handleFromPeer(
    kind: HeartbeatFrameKind,
    payload: Buffer,
    from: MemberId,
  ): Promise<PeerResponse | null> {
    if (!this.leadership.isLeader) {
      const leader = kind === FrameKind.ForwardableHeartbeat ? this.peers.leaderLink() : undefined;
      return (await leader?.request(FrameKind.ForwardedHeartbeat, payload, FORWARD_TIMEOUT_MS)) ?? null;
    }
    if (!(await this.awaitTurn())) return null;
    const parsed = parseHeartbeat(parseJson(payload));
    if (!parsed.ok) return badRequest(parsed.error);
    const route = kind === FrameKind.Heartbeat ? from : indirectRouteThrough(from);
    const commands = await this.answerAsLeader(parsed.value, route);
    return commands ? { status: OK_STATUS, body: commands } : null;
  }

  /** False: the turn came so late that nobody waits for the answer any more. */
  private async awaitTurn(): Promise<boolean> {
    const arrivedAt = this.clock.now();
    await this.queue.turn();
    return since(this.clock.now(), arrivedAt) < RELAY_TIMEOUT_MS;
  }

  /** The controller that this worker should be with instead: one that reaches the key-value store and this leader. */
  private redirectFor(worker: MachineId): MemberId | null {
    const candidates = this.peers.connected.filter(
      (peer) => peer.hasSpareCapacity && peer.lastPing?.isStoreReachable,
    );
    return this.redirects.targetFor(
      worker,
      candidates.map((peer) => peer.member),
    );
  }

  private async answerAsLeader(heartbeat: Heartbeat, route: MemberId): Promise<Buffer | null> {
    const outcome = await this.leadership.handleHeartbeat(heartbeat, route);
    return outcome?.kind === 'commands' ? encodeCommands(outcome.token, outcome.commands) : null;
  }

  private async relay(body: Buffer): Promise<HeartbeatAnswer | null> {
    const leader = this.peers.leaderLink();
    if (leader) {
      return answerForWorker(await leader.request(FrameKind.Heartbeat, body, RELAY_TIMEOUT_MS));
    }
    // The leader's zone may be cut off from ours, but not from a third one.
    if (this.leadership.isLeader || !this.leadership.isLeaderObserved) return null;
    for (const peer of this.peers.connected) {
      const answer = answerForWorker(
        await peer.request(FrameKind.ForwardableHeartbeat, body, FORWARD_TIMEOUT_MS),
      );
      if (answer) return answer;
    }
    return null;
  }
}
