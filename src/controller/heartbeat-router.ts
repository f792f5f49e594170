/** Brings workers' reports to whoever leads, and the answers back. */
import type { MachineId, MemberId } from '../model/ids.js';
import type { Heartbeat } from '../model/heartbeat.js';
import { type Clock, since } from '../model/time.js';
import { parseJson } from '../net/http-client.js';
import { YieldingWorkQueue } from '../net/work-queue.js';
import { type AnswerFrame, FrameKind } from '../peer/frames.js';
import { encodeCommands, encodeRedirect, parseHeartbeat } from '../wire/workers.js';
import type { ControllerContext } from '../core/context.js';
import type { Leadership } from '../controller/leadership.js';
import type { PeerGroup } from './peer-group.js';
import { WorkerRedirects } from './worker-redirects.js';

const RELAY_MS = 2500;

const OK_STATUS = 200;
const MALFORMED_STATUS = 400;

/** The answer to a worker's report. */
export interface HeartbeatAnswer {
  readonly status: number;
  readonly body: Buffer | null;
}

const REFUSED: HeartbeatAnswer = { status: 503, body: null };

function malformed(error: string): { status: number; body: Buffer } {
  return { status: MALFORMED_STATUS, body: Buffer.from(JSON.stringify({ error })) };
}

/** What the leader answered, if it is an answer for the worker: its orders, or that the report makes no sense. */
function passedBack(answer: AnswerFrame | null): HeartbeatAnswer | null {
  if (answer?.status !== OK_STATUS && answer?.status !== MALFORMED_STATUS) return null;
  return { status: answer.status, body: Buffer.from(answer.body) };
}

/** A reporter that is not the controller that the worker is with. */
const passedOnBy = (member: MemberId): MemberId => `${member} and another` as MemberId;

/** A leader answers itself; a follower passes the report on. */
export class HeartbeatRouter {
  private readonly member: MemberId;
  private readonly redirects: WorkerRedirects;
  private readonly turns = new YieldingWorkQueue();
  private readonly clock: Clock;

  constructor(
    { member, clock, load }: ControllerContext,
    private readonly leadership: Leadership,
    private readonly peers: PeerGroup,
  ) {
    this.member = member;
    this.clock = clock;
    this.redirects = new WorkerRedirects(clock, load);
  }

  /** A report of a worker that is with this node. */
  async take(body: Buffer): Promise<HeartbeatAnswer> {
    // Whoever leads reads the report: one that is passed on is not read here as well.
    if (this.leadership.leader) {
      if (!(await this.itsTurn())) return REFUSED;
      const parsed = parseHeartbeat(parseJson(body));
      if (!parsed.ok) return malformed(parsed.error);
      const elsewhere = this.elsewhere(parsed.value.machine);
      if (elsewhere) return { status: 421, body: encodeRedirect(elsewhere) };
      const orders = await this.lead(parsed.value, this.member);
      if (orders) return { status: 200, body: orders };
    }
    return (await this.relay(body)) ?? REFUSED;
  }

  /** A report that another controller passes on; null: this node can't have it answered. */
  async takeFromPeer(
    kind: FrameKind.Heartbeat | FrameKind.PassOn | FrameKind.Passed,
    payload: Buffer,
    from: MemberId,
  ): Promise<AnswerFrame | null> {
    if (!this.leadership.leader) {
      const link = kind === FrameKind.PassOn ? this.peers.leader() : undefined;
      return (await link?.request(FrameKind.Passed, payload, RELAY_MS / 2)) ?? null;
    }
    if (!(await this.itsTurn())) return null;
    const parsed = parseHeartbeat(parseJson(payload));
    if (!parsed.ok) return malformed(parsed.error);
    // Which controller the worker is with, the one before the last does not tell.
    const orders = await this.lead(parsed.value, kind === FrameKind.Heartbeat ? from : passedOnBy(from));
    return orders ? { status: 200, body: orders } : null;
  }

  /** False: the turn came so late that nobody waits for the answer any more. */
  private async itsTurn(): Promise<boolean> {
    const arrivedAt = this.clock.now();
    await this.turns.turn();
    return since(this.clock.now(), arrivedAt) < RELAY_MS;
  }

  /** The controller that this worker should report to instead: one that reaches the state service and this leader. */
  private elsewhere(host: MachineId): MemberId | null {
    const able = this.peers.connected.filter((link) => link.hasSpareCapacity && link.ping?.isStoreReachable);
    return this.redirects.target(
      host,
      able.map((link) => link.member as MemberId),
    );
  }

  private async lead(heartbeat: Heartbeat, via: MemberId): Promise<Buffer | null> {
    const answer = await this.leadership.handleHeartbeat(heartbeat, via);
    return answer?.kind === 'commands' ? encodeCommands(answer.token, answer.commands) : null;
  }

  private async relay(body: Buffer): Promise<HeartbeatAnswer | null> {
    const link = this.peers.leader();
    if (link) {
      return passedBack(await link.request(FrameKind.Heartbeat, body, RELAY_MS));
    }
    // The leader's zone may be cut off from ours, but not from a third one.
    if (this.leadership.leader || !this.leadership.election.observedLeader) return null;
    for (const other of this.peers.connected) {
      const answer = passedBack(await other.request(FrameKind.PassOn, body, RELAY_MS / 2));
      if (answer) return answer;
    }
    return null;
  }
}
