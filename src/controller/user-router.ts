/** Answers users' requests here or, where this controller can't, through another one. */
import type { Admission } from '../api/admission.js';
import { BusyError, unavailable, type UserAnswer } from '../api/user-answer.js';
import type { UserService } from '../api/user-service.js';
import { parseJson } from '../net/http-client.js';
import { FrameKind } from '../peer/frames.js';
import { encodeUserRequest, type UserVerb } from '../peer/user-request.js';
import { isRateLimitedError, KeyValueStoreError } from '../store/errors.js';
import type { PeerGroup } from './peer-group.js';
import type { StoreConnectivityMonitor } from './store-connectivity-monitor.js';

const FORWARD_TIMEOUT_MS = 1500;
/** How many other controllers are tried when this one has used up its share of the store's writes. */
const MAX_BUSY_FORWARDS = 4;
/** Seconds after which it is worth asking again. */
const BUSY_RETRY_S = 2;
const UNAVAILABLE_STATUS = 503;

/** Users' requests that were refused, by reason. */
export interface Refusals {
  /** This controller had used up its share of the store's writes. */
  busy: number;
  /** The key-value store refused, or did not answer. */
  state: number;
}

/** What the router is made of. */
export interface UserRouterDependencies {
  readonly users: UserService;
  readonly admission: Admission;
  readonly connectivity: StoreConnectivityMonitor;
  readonly peers: Pick<PeerGroup, 'connected'>;
  /** Between 0 and 1. */
  readonly random: () => number;
}

/** Answers every request at once, if only with when to come back. */
export class UserRouter {
  private refusals: Refusals = { busy: 0, state: 0 };

  constructor(private readonly dependencies: UserRouterDependencies) {}

  /** The refusals since the last call. */
  takeRefusals(): Refusals {
    const taken = this.refusals;
    this.refusals = { busy: 0, state: 0 };
    return taken;
  }

  /** Answers a request. `mayForward`: it comes from a user, and not from another controller. */
  async handle(verb: UserVerb, body: Buffer, mayForward: boolean): Promise<UserAnswer> {
    const { admission, connectivity } = this.dependencies;
    const rank = verb === 'submit' ? 'submission' : 'query';
    if (!admission.enter(rank)) return unavailable('overloaded', BUSY_RETRY_S);
    try {
      const forwarded =
        mayForward && !connectivity.isStoreReachable ? await this.forward(verb, body, 1) : null;
      return forwarded ?? (await this.answer(verb, body));
    } catch (error) {
      return await this.handleRefusal(error, verb, body, mayForward);
    } finally {
      admission.leave(rank);
    }
  }

  private answer(verb: UserVerb, body: Buffer): Promise<UserAnswer> {
    const { users } = this.dependencies;
    switch (verb) {
      case 'submit':
        return users.submit(parseJson(body));
      case 'query':
        return users.query(body.toString('utf8'));
      case 'cancel':
        return users.cancel(body.toString('utf8'));
    }
  }

  private async handleRefusal(
    error: unknown,
    verb: UserVerb,
    body: Buffer,
    mayForward: boolean,
  ): Promise<UserAnswer> {
    if (error instanceof BusyError) {
      this.refusals.busy++;
      // Each controller has its share of what users may write: of several one mostly has some left.
      const forwarded = mayForward ? await this.forward(verb, body, MAX_BUSY_FORWARDS) : null;
      return forwarded ?? unavailable('asked too often', BUSY_RETRY_S);
    }
    if (!(error instanceof KeyValueStoreError)) throw error;
    this.refusals.state++;
    // A rate limit is meant for all controllers: another one would only ask once more.
    if (isRateLimitedError(error)) return unavailable('asked too often', BUSY_RETRY_S);
    const forwarded = mayForward ? await this.forward(verb, body, 1) : null;
    return forwarded ?? unavailable('state service not reached');
  }

  /** The store may refuse this controller alone: another one that reaches it can then answer. Null: none did. */
  private async forward(verb: UserVerb, body: Buffer, maxPeers: number): Promise<UserAnswer | null> {
    const { peers, random } = this.dependencies;
    const candidates = peers.connected.filter((peer) => peer.lastPing?.isStoreReachable);
    const first = Math.floor(random() * candidates.length);
    const payload = encodeUserRequest(verb, body);
    for (let index = 0; index < Math.min(maxPeers, candidates.length); index++) {
      const peer = candidates[(first + index) % candidates.length];
      const response = await peer?.request(FrameKind.UserRequest, payload, FORWARD_TIMEOUT_MS);
      // Without a response it may have been carried out, and the user has waited long enough for an answer.
      if (!response) return null;
      if (response.status !== UNAVAILABLE_STATUS) {
        return parseJson(Buffer.from(response.body)) as UserAnswer;
      }
    }
    return null;
  }
}
