/** Responds to the requests of other controllers and of operators' tools. */
import type { ConfirmedCancellations } from '../core/confirmed-cancellations.js';
import { FAILURE_DETECTION_OFF_STATUS } from '../leadership/failover/detection-status.js';
import type { Failover } from '../leadership/failover/failover.js';
import { errorMessage, type Logger } from '../log/logger.js';
import type { MemberId } from '../model/ids.js';
import { PROTOCOL_VERSION } from '../model/protocol.js';
import { NoSocketError } from '../net/http-client.js';
import { FrameKind, type PeerResponse } from '../peer/frames.js';
import { decodePeerStatus, encodePeerStatus } from '../peer/peer-status.js';
import type { Ping } from '../peer/ping.js';
import { NO_SOCKET_STATUS } from '../peer/routed-caller.js';
import type { PeerHandler, RequestKind } from '../peer/server.js';
import { decodeUserRequest } from '../peer/user-request.js';
import { decodeWorkerCall } from '../peer/worker-call.js';
import { encodeMembersReport, type MembersReport } from '../wire/members.js';
import type { WorkerConnections } from '../workers/worker-connections.js';
import type { HeartbeatRouter } from './heartbeat-router.js';
import type { PeerGroup } from './peer-group.js';
import type { ProgressCache } from './progress-cache.js';
import type { UserRouter } from './user-router.js';

const OK_STATUS = 200;
const UNAVAILABLE_STATUS = 503;
const UNAVAILABLE: PeerResponse = { status: UNAVAILABLE_STATUS, body: Buffer.alloc(0) };

/** The components that serve the requests. */
export interface PeerRequestDependencies {
  readonly member: MemberId;
  readonly log: Logger;
  /** Returns the content of this controller's pings. */
  readonly localPing: () => Ping;
  /** Returns this controller's failure detection; null: failure detection is disabled or not started yet. */
  readonly failover: () => Failover | null;
  readonly peers: PeerGroup;
  readonly cancellations: ConfirmedCancellations;
  readonly progress: ProgressCache;
  readonly userRouter: UserRouter;
  readonly heartbeatRouter: HeartbeatRouter;
  readonly workerConnections: WorkerConnections;
}

/** Dispatches each kind of request to the component of the controller that serves the kind. */
export class PeerRequestHandler implements PeerHandler {
  constructor(private readonly dependencies: PeerRequestDependencies) {}

  ping(): Ping {
    return this.dependencies.localPing();
  }

  onProgress(payload: Buffer): void {
    this.dependencies.progress.update(payload);
  }

  async handleRequest(kind: RequestKind, payload: Buffer, from: MemberId): Promise<PeerResponse> {
    try {
      return await this.dispatch(kind, payload, from);
    } catch (error) {
      this.dependencies.log.debug({ error: errorMessage(error) }, 'peer request failed');
      return UNAVAILABLE;
    }
  }

  private async dispatch(kind: RequestKind, payload: Buffer, from: MemberId): Promise<PeerResponse> {
    switch (kind) {
      case FrameKind.UserRequest:
        return this.handleUserRequest(payload);
      case FrameKind.ConfirmedCancellations:
        return this.exchangeCancellations(payload);
      case FrameKind.WorkerCall:
        return this.callWorker(payload);
      case FrameKind.FailureDetection:
        return this.handleFailureDetection(payload);
      case FrameKind.ListMembers:
        return { status: OK_STATUS, body: encodeMembersReport(this.membersReport()) };
      case FrameKind.Heartbeat:
      case FrameKind.ForwardableHeartbeat:
      case FrameKind.ForwardedHeartbeat:
        return (await this.dependencies.heartbeatRouter.handleFromPeer(kind, payload, from)) ?? UNAVAILABLE;
    }
  }

  private async handleUserRequest(payload: Buffer): Promise<PeerResponse> {
    const { verb, body } = decodeUserRequest(payload);
    const answer = await this.dependencies.userRouter.handle(verb, Buffer.from(body), false);
    return { status: answer.status, body: Buffer.from(JSON.stringify(answer)) };
  }

  /**
   * Adds the sender's confirmed cancellations to this controller's and responds with all that this controller knows.
   */
  private exchangeCancellations(payload: Buffer): PeerResponse {
    const { cancellations, peers } = this.dependencies;
    cancellations.learn(decodePeerStatus(payload).cancellations);
    return { status: OK_STATUS, body: encodePeerStatus(peers.status()) };
  }

  private async callWorker(payload: Buffer): Promise<PeerResponse> {
    const { verb, address, body, deadlineMs } = decodeWorkerCall(payload);
    try {
      const reply = await this.dependencies.workerConnections.call(verb, address, body, deadlineMs);
      return { status: reply.status, body: Buffer.from(JSON.stringify(reply.body ?? null)) };
    } catch (error) {
      if (error instanceof NoSocketError) return { status: NO_SOCKET_STATUS, body: Buffer.alloc(0) };
      throw error;
    }
  }

  private async handleFailureDetection(payload: Buffer): Promise<PeerResponse> {
    const failover = this.dependencies.failover();
    if (!failover) return { status: FAILURE_DETECTION_OFF_STATUS, body: Buffer.alloc(0) };
    const answer = await failover.handleMessage(payload);
    return answer ? { status: OK_STATUS, body: Buffer.from(answer) } : UNAVAILABLE;
  }

  /** Returns the report on all controllers for an operator. */
  private membersReport(): MembersReport {
    const { member, peers } = this.dependencies;
    const failover = this.dependencies.failover();
    return {
      observer: member,
      version: PROTOCOL_VERSION,
      failureDetection: failover !== null,
      members: failover?.memberEntries() ?? peers.memberEntries(member),
      dropped: failover?.droppedMessages() ?? {},
    };
  }
}
