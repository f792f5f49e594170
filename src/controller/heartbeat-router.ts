/** Routes workers' heartbeats to the leader and the leader's answers back to the workers. */
import type { ControllerContext } from '../core/context.js';
import type { Heartbeat } from '../model/heartbeat.js';
import type { MachineId, MemberId } from '../model/ids.js';
import { type Clock, since } from '../model/time.js';
import { parseJson } from '../net/http-client.js';
import { YieldingWorkQueue } from '../net/yielding-work-queue.js';
import { FrameKind, type PeerResponse } from '../peer/frames.js';
import type { Peer } from '../peer/peer.js';
import { encodeCommands, encodeRedirect, parseHeartbeat } from '../wire/workers.js';
import type { Leadership } from './leadership.js';
import { WorkerRedirects } from './worker-redirects.js';

/** How long a worker's heartbeat may wait in this controller's queue or for the leader's response. */
const RELAY_TIMEOUT_MS = 2500;
/** The timeout of each of the two hops of a heartbeat that is forwarded through a third controller. */
const FORWARD_TIMEOUT_MS = RELAY_TIMEOUT_MS / 2;

const OK_STATUS = 200;
const BAD_REQUEST_STATUS = 400;
const MISDIRECTED_STATUS = 421;
const UNAVAILABLE_STATUS = 503;

/** The response to a worker's heartbeat. */
export interface HeartbeatAnswer {
  readonly status: number;
  readonly body: Buffer | null;
}

const UNAVAILABLE: HeartbeatAnswer = { status: UNAVAILABLE_STATUS, body: null };

/** The kinds of frames that carry a heartbeat. */
export type HeartbeatFrameKind =
  FrameKind.Heartbeat | FrameKind.ForwardableHeartbeat | FrameKind.ForwardedHeartbeat;

/** The links to the other controllers, as the heartbeat router uses them. */
export interface HeartbeatPeers {
  readonly connected: readonly Peer[];
  /** Returns the link to the leader; undefined: no connected controller is known to lead. */
  leaderLink(): Peer | undefined;
}

/** The dependencies of `HeartbeatRouter`. */
export interface HeartbeatRouterDependencies {
  readonly context: Pick<ControllerContext, 'member' | 'clock' | 'load'>;
  readonly leadership: Pick<Leadership, 'isLeader' | 'isLeaderObserved' | 'handleHeartbeat'>;
  readonly peers: HeartbeatPeers;
}

function badRequest(error: string): { status: number; body: Buffer } {
  return { status: BAD_REQUEST_STATUS, body: Buffer.from(JSON.stringify({ error })) };
}

/**
 * Returns the leader's response if the response is meant for the worker: the worker's commands, or an error because the
 * heartbeat is malformed. Null: there is no response, or the response is not meant for the worker.
 */
function answerForWorker(response: PeerResponse | null): HeartbeatAnswer | null {
  if (response?.status !== OK_STATUS && response?.status !== BAD_REQUEST_STATUS) return null;
  return { status: response.status, body: Buffer.from(response.body) };
}

/**
 * Returns the route of a heartbeat that arrived through two controllers, of which the leader knows only the second. The
 * leader only compares routes for equality (`Worker.recordHeartbeat`). The route must differ from that of heartbeats
 * which the second controller receives directly, because the worker is connected to another controller.
 */
const indirectRouteThrough = (member: MemberId): MemberId => `${member} and another` as MemberId;

/**
 * Answers heartbeats while this controller leads. Forwards a worker's heartbeat to the leader otherwise, and if this
 * controller's own leader refuses the heartbeat.
 */
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

  /** Answers a heartbeat that a worker sent to this controller. */
  async handle(body: Buffer): Promise<HeartbeatAnswer> {
    // Only the leader parses a heartbeat; a follower forwards the heartbeat unparsed.
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

  /**
   * Answers a heartbeat that another controller forwards; null: neither this controller nor the leader has answered.
   */
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

  /**
   * Waits for a turn in the work queue; resolves with false if the wait has exceeded `RELAY_TIMEOUT_MS`, after which no
   * caller expects an answer.
   */
  private async awaitTurn(): Promise<boolean> {
    const arrivedAt = this.clock.now();
    await this.queue.awaitTurn();
    return since(this.clock.now(), arrivedAt) < RELAY_TIMEOUT_MS;
  }

  /**
   * Returns the controller to which this worker should connect instead: a connected controller that has spare capacity
   * and reaches the key-value store; null: the worker stays connected to this controller.
   */
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
    // The leader's zone may be partitioned from this controller's zone but reachable from a third zone.
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
