/** Answers users' requests here or, where this node can't, at another one. */
import type { Admission } from '../api/admission.js';
import { BusyError, unavailable, type UserAnswer } from '../api/user-answer.js';
import type { UserService } from '../api/user-service.js';
import { parseJson } from '../net/http-client.js';
import { encodeUser, FrameKind, type UserVerb } from '../peer/frames.js';
import { StoreRefusedError, StoreOutcomeUnknownError } from '../store/client.js';
import type { StoreConnectivityMonitor } from '../controller/store-connectivity.js';
import type { PeerGroup } from '../controller/peer-group.js';

const FORWARD_MS = 1500;
/** How many other nodes are asked to take what this one has no part of the changes left for. */
const MOST_ASKED = 4;
/** Seconds after which it is worth asking again. */
const BUSY_RETRY_S = 2;

/** Users' requests that were refused, by why. */
export interface Refusals {
  /** This node had no part of the changes left. */
  busy: number;
  /** The state service refused, or did not answer. */
  state: number;
}

/** Every request is answered at once, if only by when to come back. */
export class UserRouter {
  private refusals: Refusals = { busy: 0, state: 0 };

  constructor(
    private readonly users: UserService,
    private readonly admission: Admission,
    private readonly connectivity: StoreConnectivityMonitor,
    private readonly peers: PeerGroup,
    /** Between 0 and 1. */
    private readonly random: () => number,
  ) {}

  /** The refusals since the last call. */
  takeRefusals(): Refusals {
    const taken = this.refusals;
    this.refusals = { busy: 0, state: 0 };
    return taken;
  }

  /** `mayForward`: it comes from a user, and not from another controller. */
  async take(verb: UserVerb, body: Buffer, mayForward: boolean): Promise<UserAnswer> {
    const rank = verb === 'submit' ? 'submission' : 'query';
    if (!this.admission.enter(rank)) return unavailable('overloaded', BUSY_RETRY_S);
    try {
      const elsewhere =
        mayForward && !this.connectivity.isStoreReachable ? await this.forward(verb, body, 1) : null;
      return elsewhere ?? (await this.answer(verb, body));
    } catch (error) {
      return await this.afterRefusal(error, verb, body, mayForward);
    } finally {
      this.admission.leave(rank);
    }
  }

  private answer(verb: UserVerb, body: Buffer): Promise<UserAnswer> {
    switch (verb) {
      case 'submit':
        return this.users.submit(parseJson(body));
      case 'query':
        return this.users.query(body.toString('utf8'));
      case 'cancel':
        return this.users.cancel(body.toString('utf8'));
    }
  }

  private async afterRefusal(
    error: unknown,
    verb: UserVerb,
    body: Buffer,
    mayForward: boolean,
  ): Promise<UserAnswer> {
    if (error instanceof BusyError) {
      this.refusals.busy++;
      // Each node has its part of what users may write: of several one mostly has some left.
      const forwarded = mayForward ? await this.forward(verb, body, MOST_ASKED) : null;
      return forwarded ?? unavailable('asked too often', BUSY_RETRY_S);
    }
    if (!(error instanceof StoreRefusedError || error instanceof StoreOutcomeUnknownError)) throw error;
    this.refusals.state++;
    // Asked too often is meant for all nodes: another one would only ask once more.
    if (error instanceof StoreRefusedError && error.isRateLimited)
      return unavailable('asked too often', BUSY_RETRY_S);
    const forwarded = mayForward ? await this.forward(verb, body, 1) : null;
    return forwarded ?? unavailable('state service not reached');
  }

  /** The state service may refuse this node alone: another one can then answer. */
  private async forward(verb: UserVerb, body: Buffer, most: number): Promise<UserAnswer | null> {
    const able = this.peers.connected.filter((link) => link.ping?.isStoreReachable);
    const first = Math.floor(this.random() * able.length);
    const payload = encodeUser(verb, body);
    for (let i = 0; i < Math.min(most, able.length); i++) {
      const answer = await able[(first + i) % able.length]?.request(FrameKind.User, payload, FORWARD_MS);
      // Without an answer it may have been taken, and the user has waited long enough to be told.
      if (!answer) return null;
      if (answer.status !== 503) return parseJson(Buffer.from(answer.body)) as UserAnswer;
    }
    return null;
  }
}
