/** Answers users' requests in this controller or, if this controller can't, through another controller. */
import type { Admission } from '../api/admission.js';
import { BusyError, unavailable, type UserAnswer } from '../api/user-answer.js';
import type { RefusalReason } from '../api/refusals.js';
import type { UnansweredQueries } from '../api/unanswered-queries.js';
import type { UserService } from '../api/user-service.js';
import type { StepMonitor } from '../core/step-monitor.js';
import { parseJson } from '../net/http-client.js';
import { FrameKind } from '../peer/frames.js';
import { encodeUserRequest, type UserVerb } from '../peer/user-request.js';
import { isRateLimitedError, KeyValueStoreError } from '../store/errors.js';
import type { PeerGroup } from './peer-group.js';
import type { StoreConnectivityMonitor } from './store-connectivity-monitor.js';

/** How long another controller may take to answer a forwarded request. */
const FORWARD_TIMEOUT_MS = 1500;
/**
 * The maximum number of other controllers tried when this controller has exhausted its share of the store's write rate.
 */
const MAX_BUSY_FORWARD_COUNT = 4;
/** The `retryAfter` value of an answer that refuses a request because of load or rate limits. */
const BUSY_RETRY_S = 2;
const UNAVAILABLE_STATUS = 503;

/** The dependencies of `UserRouter`. */
export interface UserRouterDependencies {
  readonly userService: UserService;
  readonly admission: Admission;
  readonly unansweredQueries: UnansweredQueries;
  readonly connectivity: StoreConnectivityMonitor;
  readonly peers: Pick<PeerGroup, 'connected'>;
  readonly steps: StepMonitor;
  /** Returns a random number from 0 up to, but not including, 1. */
  readonly random: () => number;
}

/**
 * Answers requests, and refuses a request above a limit or during a failure of the store with a time after which to
 * retry.
 */
export class UserRouter {
  constructor(private readonly dependencies: UserRouterDependencies) {}

  /**
   * Answers a request. `mayForward` is true for a request that comes directly from a user, and false for a request that
   * another controller has forwarded.
   */
  async handle(verb: UserVerb, body: Buffer, mayForward: boolean): Promise<UserAnswer> {
    const answer = await this.answerOrRefuse(verb, body, mayForward);
    if (verb === 'query') this.trackQuery(body.toString('utf8'), answer);
    return answer;
  }

  /** Checks the invariant that no job stays unanswered while the store is reachable. */
  private trackQuery(id: string, { status }: UserAnswer): void {
    const { unansweredQueries, connectivity } = this.dependencies;
    if (status === UNAVAILABLE_STATUS) unansweredQueries.recordRefusal(id, connectivity.isStoreReachable);
    else unansweredQueries.recordAnswer(id);
  }

  private async answerOrRefuse(verb: UserVerb, body: Buffer, mayForward: boolean): Promise<UserAnswer> {
    const { admission, connectivity } = this.dependencies;
    const rank = verb === 'submit' ? 'submission' : 'query';
    if (!admission.tryAcquire(rank)) {
      this.recordRefusal('overloaded', verb, body);
      return unavailable('overloaded', BUSY_RETRY_S);
    }
    try {
      const forwarded =
        mayForward && !connectivity.isStoreReachable ? await this.forward(verb, body, 1) : null;
      return forwarded ?? (await this.answer(verb, body));
    } catch (error) {
      return await this.handleRefusal(error, verb, body, mayForward);
    } finally {
      admission.release(rank);
    }
  }

  private recordRefusal(reason: RefusalReason, verb: UserVerb, body: Buffer): void {
    // The body of a submission is JSON; that of the other requests is the job's id.
    const id = verb === 'submit' ? null : body.toString('utf8');
    this.dependencies.userService.refusals.record(reason, verb, id);
  }

  private answer(verb: UserVerb, body: Buffer): Promise<UserAnswer> {
    const subject = verb === 'submit' ? verb : `${verb} ${body.toString('utf8')}`;
    // Only the part before the first wait is one step.
    return this.dependencies.steps.run('user request', subject, () => this.callService(verb, body));
  }

  private callService(verb: UserVerb, body: Buffer): Promise<UserAnswer> {
    const { userService } = this.dependencies;
    switch (verb) {
      case 'submit':
        return userService.submit(parseJson(body));
      case 'query':
        return userService.query(body.toString('utf8'));
      case 'cancel':
        return userService.cancel(body.toString('utf8'));
    }
  }

  private async handleRefusal(
    error: unknown,
    verb: UserVerb,
    body: Buffer,
    mayForward: boolean,
  ): Promise<UserAnswer> {
    if (error instanceof BusyError) {
      this.recordRefusal('write-budget', verb, body);
      // Each controller has its own share of the write rate for users, so another controller often has capacity left.
      const forwarded = mayForward ? await this.forward(verb, body, MAX_BUSY_FORWARD_COUNT) : null;
      return forwarded ?? unavailable('too many requests; retry later', BUSY_RETRY_S);
    }
    if (!(error instanceof KeyValueStoreError)) throw error;
    this.recordRefusal(isRateLimitedError(error) ? 'store-rate-limited' : 'store-unavailable', verb, body);
    // The store's rate limit applies to all controllers, so forwarding would only send the store another request.
    if (isRateLimitedError(error)) return unavailable('too many requests; retry later', BUSY_RETRY_S);
    const forwarded = mayForward ? await this.forward(verb, body, 1) : null;
    return forwarded ?? unavailable('key-value store unavailable; retry later');
  }

  /**
   * Forwards a request to up to `maxPeers` other controllers that reach the store, since the store may refuse only this
   * controller. Null: no other controller reaches the store, a controller did not respond, or every controller tried
   * answered `UNAVAILABLE_STATUS`.
   */
  private async forward(verb: UserVerb, body: Buffer, maxPeers: number): Promise<UserAnswer | null> {
    const { peers, random } = this.dependencies;
    const candidates = peers.connected.filter((peer) => peer.lastPing?.isStoreReachable);
    const firstIndex = Math.floor(random() * candidates.length);
    const payload = encodeUserRequest(verb, body);
    for (let index = 0; index < Math.min(maxPeers, candidates.length); index++) {
      const peer = candidates[(firstIndex + index) % candidates.length];
      const response = await peer?.request(FrameKind.UserRequest, payload, FORWARD_TIMEOUT_MS);
      // A request without a response may have been executed, and another attempt would keep the user waiting too long.
      if (!response) return null;
      if (response.status !== UNAVAILABLE_STATUS) {
        return parseJson(Buffer.from(response.body)) as UserAnswer;
      }
    }
    return null;
  }
}
