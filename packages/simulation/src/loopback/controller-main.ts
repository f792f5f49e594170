/** A stand-in controller as a real process: the real packages, over real connections, with jobs that do nothing. */
import { createServer } from 'node:net';
import {
  type Clock,
  majorityOf,
  Membership,
  type MemberId,
  PeerSupport,
  type ProcessId,
} from '@plumyoke/membership';
import {
  DEFAULT_TAKEOVER_SETTINGS,
  type Owner,
  type Ownership,
  TakeoverCoordinator,
  type UnitId,
} from '@plumyoke/takeover';
import {
  type ConditionalStore,
  OwnershipRegistry,
  StoreOutcomeUnknownError,
  StoreUnavailableError,
} from '@plumyoke/takeover/reference';
import { Channel } from './channel.js';
import {
  type ControllerOptions,
  type EffectRequest,
  FailoverMode,
  type HelloRequest,
  LabRequest,
  VACANT,
} from './protocol.js';
import { dial, listen } from './relay.js';

const ACT_EVERY_MS = 20;
const STORE_MS = 1000;
const REDIAL_MS = 100;
/** The life of a grant, and how often it is renewed, as in the service. */
const GRANT_MS = 2500;
const RENEW_EVERY_MS = GRANT_MS / 4;

const clock: Clock = {
  now: () => performance.now(),
  wall: () => Date.now(),
  after(delayMs, run) {
    const timer = setTimeout(run, Math.max(0, delayMs));
    return () => clearTimeout(timer);
  },
};

/** A channel to a peer that is dialled again when it ends. */
class PeerChannel {
  private channel: Channel | null = null;

  constructor(private readonly port: number) {
    this.open();
  }

  private open(): void {
    const socket = dial(this.port);
    socket.on('connect', () => {
      this.channel = new Channel(
        socket,
        () => Promise.resolve(undefined),
        () => {
          this.channel = null;
        },
      );
    });
    socket.on('error', () => socket.destroy());
    socket.on('close', () => clock.after(REDIAL_MS, () => this.open()));
  }

  async request(payload: Uint8Array, deadlineMs: number): Promise<Uint8Array | null> {
    const text = Buffer.from(payload).toString('base64');
    const answer = await (this.channel?.request('membership', text, deadlineMs) ?? null);
    return typeof answer === 'string' ? Buffer.from(answer, 'base64') : null;
  }
}

/** The laboratory's store over its channel. */
function remoteStore(lab: Channel): ConditionalStore {
  const ask = async <T>(request: LabRequest, body: unknown): Promise<T> => {
    const answer = await lab.request(request, body, STORE_MS);
    if (answer === null) throw new StoreOutcomeUnknownError('no answer');
    if (answer === 'refused') throw new StoreUnavailableError('refused');
    return (answer as { value: T }).value;
  };
  return {
    get: (key) => ask(LabRequest.Get, key),
    commit: (conditions, writes) => ask(LabRequest.Commit, { conditions, writes }),
  };
}

/** What both ways of failover offer: whether this process may act on a unit. */
interface Failover {
  currentOwnership(unit: UnitId): Ownership | null;
}

async function startMembership(options: ControllerOptions, lab: Channel): Promise<Failover> {
  const peers = new Map(
    Object.entries(options.peers).map(([member, port]) => [member, new PeerChannel(port)]),
  );
  const members = [options.member, ...peers.keys()].sort() as MemberId[];
  const membership = new Membership(
    { ...options.tuning, self: options.member as MemberId, members, majority: majorityOf(members.length) },
    {
      clock,
      random: Math.random,
      log: { info: () => {}, warn: () => {} },
      selfReport: () => ({ load: 0.1, ready: true }),
      transport: {
        support: () => PeerSupport.Supported,
        request: (to, payload, deadlineMs) =>
          peers.get(to)?.request(payload, deadlineMs) ?? Promise.resolve(null),
      },
    },
  );
  membership.listen((event) => {
    if (event.kind !== 'state-changed') return;
    lab.tell(LabRequest.Event, { kind: event.kind, subject: event.member, to: event.to });
  });
  const server = createServer((socket) => {
    new Channel(socket, async (_, body) => {
      const answer = await membership.handle(Buffer.from(String(body), 'base64'));
      return answer === null ? undefined : Buffer.from(answer).toString('base64');
    });
  });
  const port = await listen(server);
  lab.tell(LabRequest.Hello, { member: options.member, port } satisfies HelloRequest);
  const coordinator = new TakeoverCoordinator<null>(
    options.units as UnitId[],
    {
      clock,
      log: {
        info: () => {},
        warn: (_, text) => lab.tell(LabRequest.Event, { kind: 'warning', subject: '', to: text }),
      },
      membership,
      claims: new OwnershipRegistry(remoteStore(lab)),
      settings: DEFAULT_TAKEOVER_SETTINGS,
    },
    {
      prepare: () => Promise.resolve(null),
      discard: () => {},
      adopt: () => Promise.resolve(),
      stop: () => {},
    },
  );
  membership.start();
  coordinator.start();
  return coordinator;
}

/** Ownership by a grant that is renewed, and claimed by whoever is first when it has ended. */
class GrantElection implements Failover {
  private readonly owned = new Map<UnitId, { readonly ownership: Ownership; sureUntil: number }>();
  private readonly registry: OwnershipRegistry;
  private readonly self: Owner;

  constructor(
    private readonly options: ControllerOptions,
    private readonly lab: Channel,
  ) {
    this.registry = new OwnershipRegistry(remoteStore(lab));
    const process = Math.random().toString(36).slice(2) as ProcessId;
    this.self = { member: options.member as MemberId, process };
    this.renewAll();
  }

  currentOwnership(unit: UnitId): Ownership | null {
    const held = this.owned.get(unit);
    return held !== undefined && clock.now() < held.sureUntil ? held.ownership : null;
  }

  async standFor(unit: UnitId): Promise<void> {
    if (this.owned.has(unit)) return;
    const found = await this.registry.read(unit);
    if (found === null || found.kind === 'damaged' || found.kind === 'owned') return;
    const sentAt = clock.now();
    const result = await this.registry.claim(unit, this.self, found);
    if (result.kind !== 'won') return;
    this.owned.set(unit, { ownership: result.ownership, sureUntil: sentAt + GRANT_MS });
    await this.lab.request(
      LabRequest.Grant,
      { unit, ttlMs: GRANT_MS, epoch: result.ownership.epoch },
      STORE_MS,
    );
  }

  private renewAll(): void {
    clock.after(RENEW_EVERY_MS, () => {
      for (const [unit, held] of this.owned) void this.renew(unit, held);
      for (const unit of this.options.units as UnitId[]) void this.standFor(unit);
      this.renewAll();
    });
  }

  private async renew(
    unit: UnitId,
    held: { readonly ownership: Ownership; sureUntil: number },
  ): Promise<void> {
    const sentAt = clock.now();
    const answer = await this.lab.request(LabRequest.Touch, { unit, epoch: held.ownership.epoch }, STORE_MS);
    if (answer === true) held.sureUntil = sentAt + GRANT_MS;
    else if (answer === false) this.owned.delete(unit);
  }
}

/** Acts upon every unit that it may act upon, one job after the other. */
function act(options: ControllerOptions, failover: Failover, lab: Channel): void {
  let jobs = 0;
  const step = (): void => {
    for (const unit of options.units as UnitId[]) {
      const ownership = failover.currentOwnership(unit);
      if (!ownership) continue;
      const { owner, epoch } = ownership;
      jobs++;
      const effect: EffectRequest = {
        unit,
        member: owner.member,
        process: owner.process,
        epoch,
        job: `${unit}/${epoch}/${jobs}`,
      };
      lab.tell(LabRequest.Effect, effect);
    }
    clock.after(ACT_EVERY_MS, step);
  };
  step();
}

function main(): void {
  const options = JSON.parse(process.argv[2] ?? '') as ControllerOptions;
  const socket = dial(options.labPort);
  // The laboratory has ended: so does the controller.
  socket.on('close', () => process.exit(0));
  socket.on('connect', () => {
    let election: GrantElection | null = null;
    const lab = new Channel(socket, (ask, body) => {
      if (ask === VACANT) void election?.standFor(body as UnitId);
      return Promise.resolve(undefined);
    });
    if (options.mode === FailoverMode.GrantOnly) {
      lab.tell(LabRequest.Hello, { member: options.member, port: 0 } satisfies HelloRequest);
      election = new GrantElection(options, lab);
      act(options, election, lab);
    } else void startMembership(options, lab).then((failover) => act(options, failover, lab));
  });
}

main();
