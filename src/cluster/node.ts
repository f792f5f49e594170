import { Admission } from '../api/admission.js';
import { type RequestHandler, requestListener } from '../api/http-router.js';
import { Busy, unavailable, type UserAnswer, UserService } from '../api/users.js';
import { CloudClient } from '../cloud/client.js';
import type { Operators } from '../config/operators.js';
import { type Log, reason } from '../log/logger.js';
import type { JobId, MemberId } from '../model/ids.js';
import { PROTOCOL_VERSION } from '../model/protocol.js';
import { realClock, type Steady, since } from '../model/time.js';
import { HttpTarget, parseJson } from '../net/http-client.js';
import { FrontServer } from '../net/server.js';
import { shareSockets } from '../net/sockets.js';
import {
  type AnswerFrame,
  type CancellationsWord,
  decodeCall,
  decodeCancellations,
  decodeProgress,
  decodeUser,
  encodeCancellations,
  encodeProgress,
  encodeUser,
  Kind,
  type Ping,
  type UserVerb,
} from '../peer/frames.js';
import { type Asked, PeerLink, PeerServer } from '../peer/link.js';
import { type RawCaller, RoutedCaller } from '../peer/routed-caller.js';
import { StateClient, StateRefused, StateUnknown } from '../store/client.js';
import { limitProbe } from '../store/limit-probe.js';
import { StateLimits } from '../store/limits.js';
import type { Progress } from '../wire/users.js';
import type { Settings } from '../wire/settings.js';
import { encodeOrders, parseReport, readCommandReply } from '../wire/workers.js';
import { WorkerTargets } from '../workers/caller.js';
import { Cancellations } from './cancellations.js';
import type { NodeContext } from './context.js';
import { ConnectivityMonitor } from './connectivity.js';
import { Leadership } from './leadership.js';
import { MachineTypeCatalogue } from './machine-types.js';

const STATE_MS = 1000;
const CLOUD_MS = 4000;
const RELAY_MS = 2500;
const FORWARD_MS = 1500;
/** How many other nodes are asked to take what this one has no part of the changes left for. */
const MOST_ASKED = 4;
const PROGRESS_MS = 1000;
const PROGRESS_LIVES_MS = 5000;

/** One controller: takes users and workers, relays to the leader, and leads when elected. */
export class Node {
  private readonly ctx: NodeContext;
  private readonly leadership: Leadership;
  private readonly users: UserService;
  private readonly links: PeerLink[];
  private readonly targets: WorkerTargets;
  private readonly front: FrontServer;
  private readonly peers: PeerServer;
  private readonly admission: Admission;
  private readonly machineTypes: MachineTypeCatalogue;
  private progress = new Map<JobId, Progress>();
  private progressAt: Steady | null = null;
  /** Users' requests since the last summary for which this node had no part of the changes left, or no answer. */
  private refusals = { busy: 0, state: 0 };
  private readonly connectivity: ConnectivityMonitor;

  constructor(
    private readonly settings: Settings,
    ops: Operators,
    private readonly log: Log,
    random: () => number,
  ) {
    const clock = realClock;
    const shares = shareSockets(settings.sockets, settings.siblings.length);
    this.targets = new WorkerTargets(shares.workers);
    this.connectivity = new ConnectivityMonitor(clock);
    const cancellations = new Cancellations(clock, settings.cancelWithin);
    const speaking = new Set<string>();
    const store = new StateClient(
      new HttpTarget(settings.stateAddress, shares.state),
      new HttpTarget(settings.stateAddress, shares.watches),
      STATE_MS,
      (answered) => this.connectivity.stateAnswered(answered),
    );
    const limits = new StateLimits(settings, clock, limitProbe(store, settings));
    if (settings.siblings.length === 0) limits.allowSplitProgress();
    const links = settings.siblings.map(
      (s) =>
        new PeerLink(
          s.member,
          s.address,
          clock,
          log,
          () => this.ping(),
          (ping) => {
            if (ping.leading !== null) this.leadership.heardOf(ping.leading);
          },
          (link) => {
            if (!link.takesCancellations) return;
            // Whatever it missed while there was no connection.
            this.tellCancellations([link]);
            speaking.add(link.member);
            // Who has once shown that it reads them comes back with no earlier version.
            if (speaking.size === settings.siblings.length) limits.allowSplitProgress();
          },
        ),
    );
    this.links = links;
    const direct: RawCaller = {
      call: async (verb, address, body, deadlineMs) => {
        const reply = await this.targets.raw(verb, address, body, deadlineMs);
        return readCommandReply(reply.status, reply.body);
      },
    };
    this.ctx = {
      member: settings.member,
      clock,
      log,
      settings,
      ops,
      store,
      cloud: new CloudClient(new HttpTarget(settings.cloudAddress, shares.cloud), CLOUD_MS),
      workers: new RoutedCaller(direct, links, clock),
      random,
      types: new Map(),
      workerCalls: Math.floor(shares.workers / 4),
      limits,
      cancellations,
      allSpeak: (version) => this.allSpeak(version),
      siblings: { cancellations: (deadlineMs) => this.askCancellations(deadlineMs) },
    };
    this.machineTypes = new MachineTypeCatalogue(this.ctx);
    this.users = new UserService(
      this.ctx,
      (id) => this.progressOf(id),
      () => 1 + links.filter((l) => l.alive).length,
    );
    this.leadership = new Leadership(this.ctx, () => this.machineTypes.known());
    cancellations.onLearned((ids) => {
      this.leadership.leader?.cancelled(ids);
      this.tellCancellations(this.links, ids);
    });
    this.admission = new Admission(clock, { submission: 48, query: 96 });
    const handler: RequestHandler = {
      up: () => this.ctx.types.size > 0 && !this.connectivity.cutOff(this.links),
      beat: (body) => this.beat(body),
      user: (verb, body) => this.user(verb, body, true),
    };
    this.front = new FrontServer(
      requestListener(handler),
      { sockets: shares.front, headersMs: 10_000, requestMs: 15_000, idleMs: 75_000 },
      log,
    );
    this.peers = new PeerServer(
      {
        ping: () => this.ping(),
        progress: (payload) => this.takeProgress(payload),
        ask: (kind, payload, from) => this.peerAsks(kind, payload, from),
      },
      shares.peers,
      log,
    );
  }

  async run(): Promise<void> {
    await Promise.all([
      this.front.listen(this.settings.front),
      this.peers.listen(this.settings.clusterListen),
    ]);
    this.log.info({ front: this.settings.front, answerAloneMs: this.leadership.answerAloneMs }, 'listening');
    for (const link of this.links) link.start();
    this.leadership.run();
    void this.users.watch();
    this.machineTypes.run();
    this.tellProgress();
    this.summarise();
  }

  private ping(): Ping {
    return {
      member: this.ctx.member,
      stateOk: this.connectivity.stateOk,
      leading: this.leadership.leader?.epoch ?? null,
      version: PROTOCOL_VERSION,
    };
  }

  /** No leader of an earlier version, as far as we know, and nobody around who could become one. */
  private allSpeak(version: number): boolean {
    const { leader } = this.leadership.election;
    if (leader !== null && leader.version < version) return false;
    return this.links.every((link) => !link.alive || link.speaks(version));
  }

  // Cancellations

  private cancellationsWord(which?: readonly JobId[]): CancellationsWord {
    const { cancellations } = this.ctx;
    return {
      upFor: cancellations.upFor,
      leading: this.leadership.leader?.epoch ?? null,
      told: cancellations.list(which),
    };
  }

  private tellCancellations(to: readonly PeerLink[], which?: readonly JobId[]): void {
    const speaking = to.filter((link) => link.takesCancellations);
    if (speaking.length === 0) return;
    const payload = encodeCancellations(this.cancellationsWord(which));
    for (const link of speaking) link.send(Kind.Cancelled, 0, payload);
  }

  private askCancellations(deadlineMs: number): Promise<(CancellationsWord | null)[]> {
    const payload = encodeCancellations(this.cancellationsWord());
    return Promise.all(
      this.links.map(async (link) => {
        const answer = link.takesCancellations ? await link.ask(Kind.Cancelled, payload, deadlineMs) : null;
        return answer?.status === 200 ? decodeCancellations(answer.body) : null;
      }),
    );
  }

  // Workers

  private async beat(body: Buffer): Promise<{ status: number; body: Buffer | null }> {
    // Whoever leads reads the report: one that is passed on is not read here as well.
    if (this.leadership.leader) {
      const parsed = parseReport(parseJson(body));
      if (!parsed.ok) return { status: 400, body: Buffer.from(JSON.stringify({ error: parsed.error })) };
      const own = await this.leadership.report(parsed.value, this.ctx.member);
      if (own?.kind === 'orders') return { status: 200, body: encodeOrders(own.token, own.orders) };
    }
    const relayed = await this.relayHeartbeat(body);
    return relayed ?? { status: 503, body: null };
  }

  /** The node that leads, by its own word or by the last record that we saw. */
  private leaderLink(): PeerLink | undefined {
    const leading = this.links.filter((l) => l.alive && l.ping?.leading != null);
    leading.sort((a, b) => (b.ping?.leading ?? 0) - (a.ping?.leading ?? 0));
    return (
      leading[0] ?? this.links.find((l) => l.alive && l.member === this.leadership.election.leader?.member)
    );
  }

  private async relayHeartbeat(body: Buffer): Promise<{ status: number; body: Buffer | null } | null> {
    const link = this.leaderLink();
    if (link) {
      const answer = await link.ask(Kind.Heartbeat, body, RELAY_MS);
      return answer?.status === 200 ? { status: 200, body: Buffer.from(answer.body) } : null;
    }
    // The leader's zone may be cut off from ours, but not from a third one.
    if (this.leadership.leader || !this.leadership.election.leader) return null;
    for (const other of this.links.filter((l) => l.alive)) {
      const answer = await other.ask(Kind.PassOn, body, RELAY_MS / 2);
      if (answer?.status === 200) return { status: 200, body: Buffer.from(answer.body) };
    }
    return null;
  }

  private async peerAsks(kind: Asked, payload: Buffer, from: MemberId): Promise<AnswerFrame> {
    const nothing: AnswerFrame = { status: 503, body: Buffer.alloc(0) };
    try {
      switch (kind) {
        case Kind.User: {
          const { verb, body } = decodeUser(payload);
          const answer = await this.user(verb, Buffer.from(body), false);
          return { status: answer.status, body: Buffer.from(JSON.stringify(answer)) };
        }
        case Kind.Cancelled: {
          this.ctx.cancellations.learn(decodeCancellations(payload).told);
          return { status: 200, body: encodeCancellations(this.cancellationsWord()) };
        }
        case Kind.Call: {
          const call = decodeCall(payload);
          const reply = await this.targets.raw(call.verb, call.address, call.body, call.deadlineMs);
          return { status: reply.status, body: Buffer.from(JSON.stringify(reply.body ?? null)) };
        }
        case Kind.PassOn:
        case Kind.Passed:
        case Kind.Heartbeat: {
          if (!this.leadership.leader) {
            const link = kind === Kind.PassOn ? this.leaderLink() : undefined;
            return (await link?.ask(Kind.Passed, payload, RELAY_MS / 2)) ?? nothing;
          }
          const parsed = parseReport(parseJson(payload));
          if (!parsed.ok) return nothing;
          // Which controller the worker is with, the one before the last does not tell.
          const via = kind === Kind.Heartbeat ? from : (`${from} and another` as MemberId);
          const answer = await this.leadership.report(parsed.value, via);
          if (answer?.kind !== 'orders') return nothing;
          return { status: 200, body: encodeOrders(answer.token, answer.orders) };
        }
      }
    } catch (error) {
      this.log.debug({ error: reason(error) }, 'what a peer asked could not be done');
      return nothing;
    }
  }

  // Users

  private async user(verb: UserVerb, body: Buffer, mayForward: boolean): Promise<UserAnswer> {
    const rank = verb === 'submit' ? 'submission' : 'query';
    if (!this.admission.enter(rank)) return unavailable('overloaded', 2);
    try {
      if (mayForward && !this.connectivity.stateOk) {
        const forwarded = await this.forward(verb, body);
        if (forwarded) return forwarded;
      }
      return await this.answerUser(verb, body);
    } catch (error) {
      const busy = error instanceof Busy;
      if (busy) this.refusals.busy++;
      else this.refusals.state++;
      if (!(busy || error instanceof StateRefused || error instanceof StateUnknown)) throw error;
      // Asked too often is meant for all nodes: another one would only ask once more.
      if (error instanceof StateRefused && error.tooMany) return unavailable('asked too often', 2);
      // Each node has its part of what users may write: of several one mostly has some left.
      const most = busy ? MOST_ASKED : 1;
      const forwarded = mayForward ? await this.forward(verb, body, most) : null;
      return (
        forwarded ?? (busy ? unavailable('asked too often', 2) : unavailable('state service not reached'))
      );
    } finally {
      this.admission.leave(rank);
    }
  }

  private answerUser(verb: UserVerb, body: Buffer): Promise<UserAnswer> {
    switch (verb) {
      case 'submit':
        return this.users.submit(parseJson(body));
      case 'query':
        return this.users.query(body.toString('utf8'));
      case 'cancel':
        return this.users.cancel(body.toString('utf8'));
    }
  }

  /** The state service may refuse this node alone: another one can then answer. */
  private async forward(verb: UserVerb, body: Buffer, most = 1): Promise<UserAnswer | null> {
    const able = this.links.filter((l) => l.alive && l.ping?.stateOk);
    const first = Math.floor(this.ctx.random() * able.length);
    const payload = encodeUser(verb, body);
    for (let i = 0; i < Math.min(most, able.length); i++) {
      const answer = await able[(first + i) % able.length]?.ask(Kind.User, payload, FORWARD_MS);
      // Without an answer it may have been taken, and the user has waited long enough to be told.
      if (!answer) return null;
      if (answer.status !== 503) return parseJson(Buffer.from(answer.body)) as UserAnswer;
    }
    return null;
  }

  private progressOf(id: JobId): Progress | null {
    const now = this.ctx.clock.now();
    if (this.progressAt === null || since(now, this.progressAt) > PROGRESS_LIVES_MS) return null;
    return this.progress.get(id) ?? null;
  }

  private takeProgress(payload: Buffer): void {
    this.progress = new Map(decodeProgress(payload).map((p) => [p.id, p]));
    this.progressAt = this.ctx.clock.now();
  }

  private tellProgress(): void {
    this.ctx.clock.after(PROGRESS_MS, () => {
      if (this.leadership.leader) {
        const payload = encodeProgress(this.leadership.leader.progress());
        this.takeProgress(payload);
        for (const link of this.links) link.send(Kind.Progress, 0, payload);
      }
      this.tellProgress();
    });
  }

  private summarise(): void {
    const every = this.ctx.ops.log.summary_s * 1000;
    this.ctx.clock.after(every, () => {
      const memory = Math.round(process.memoryUsage.rss() / 1e6);
      const cpu = process.cpuUsage();
      this.log.info(
        {
          ...this.leadership.leader?.summary(),
          leads: this.leadership.leader?.epoch ?? null,
          stateOk: this.connectivity.stateOk,
          peers: this.links.filter((l) => l.alive).length,
          lateMs: this.admission.lateMs,
          refusals: this.refusals,
          rssMb: memory,
          cpuMs: Math.round((cpu.user + cpu.system) / 1000),
        },
        'summary',
      );
      this.refusals = { busy: 0, state: 0 };
      this.summarise();
    });
  }
}
