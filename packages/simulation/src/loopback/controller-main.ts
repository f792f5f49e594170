/**
 * A simulated controller as an operating system process: runs the real packages over TCP, with jobs that do nothing.
 */
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
  HarnessRequest,
  LEASE_EXPIRED,
} from './protocol.js';
import { dial, listenOnFreePort } from './relay.js';

const JOB_START_INTERVAL_MS = 20;
const STORE_TIMEOUT_MS = 1000;
const RECONNECT_DELAY_MS = 100;
/** The time to live of a lease. The lease is renewed four times in this time, as in the service. */
const LEASE_TTL_MS = 2500;
const LEASE_RENEW_INTERVAL_MS = LEASE_TTL_MS / 4;

const clock: Clock = {
  now: () => performance.now(),
  wall: () => Date.now(),
  after(delayMs, run) {
    const timer = setTimeout(run, Math.max(0, delayMs));
    return () => clearTimeout(timer);
  },
};

/** A channel to a peer. The channel reconnects when the connection closes. */
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
    socket.on('close', () => clock.after(RECONNECT_DELAY_MS, () => this.open()));
  }

  async request(payload: Uint8Array, deadlineMs: number): Promise<Uint8Array | null> {
    const text = Buffer.from(payload).toString('base64');
    const answer = await (this.channel?.request('membership', text, deadlineMs) ?? null);
    return typeof answer === 'string' ? Buffer.from(answer, 'base64') : null;
  }
}

/** Returns a client of the harness's store. The client sends its requests over the channel to the harness. */
function createRemoteStore(harness: Channel): ConditionalStore {
  const request = async <T>(name: HarnessRequest, body: unknown): Promise<T> => {
    const answer = await harness.request(name, body, STORE_TIMEOUT_MS);
    if (answer === null)
      throw new StoreOutcomeUnknownError('the harness did not respond to the store request');
    if (answer === 'refused') throw new StoreUnavailableError('the harness refused the store request');
    return (answer as { value: T }).value;
  };
  return {
    get: (key) => request(HarnessRequest.Get, key),
    commit: (conditions, writes) => request(HarnessRequest.Commit, { conditions, writes }),
  };
}

/** The part that both failover modes share: the decision whether this process may act on a unit. */
interface Failover {
  currentOwnership(unit: UnitId): Ownership | null;
}

async function startMembership(options: ControllerOptions, harness: Channel): Promise<Failover> {
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
    harness.notify(HarnessRequest.Event, { kind: event.kind, subject: event.member, to: event.to });
  });
  const server = createServer((socket) => {
    new Channel(socket, async (_, body) => {
      const answer = await membership.handle(Buffer.from(String(body), 'base64'));
      return answer === null ? undefined : Buffer.from(answer).toString('base64');
    });
  });
  const port = await listenOnFreePort(server);
  harness.notify(HarnessRequest.Hello, { member: options.member, port } satisfies HelloRequest);
  const coordinator = new TakeoverCoordinator<null>(
    options.units as UnitId[],
    {
      clock,
      log: {
        info: () => {},
        warn: (_, text) => harness.notify(HarnessRequest.Event, { kind: 'warning', subject: '', to: text }),
      },
      membership,
      claims: new OwnershipRegistry(createRemoteStore(harness)),
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

/**
 * Ownership by a renewed lease. The first controller that claims the unit after the lease has expired is the next
 * owner.
 */
class LeaseElection implements Failover {
  private readonly ownedUnits = new Map<UnitId, { readonly ownership: Ownership; validUntil: number }>();
  private readonly registry: OwnershipRegistry;
  private readonly self: Owner;

  constructor(
    private readonly options: ControllerOptions,
    private readonly harness: Channel,
  ) {
    this.registry = new OwnershipRegistry(createRemoteStore(harness));
    const process = Math.random().toString(36).slice(2) as ProcessId;
    this.self = { member: options.member as MemberId, process };
    this.scheduleRenewals();
  }

  currentOwnership(unit: UnitId): Ownership | null {
    const ownedUnit = this.ownedUnits.get(unit);
    return ownedUnit !== undefined && clock.now() < ownedUnit.validUntil ? ownedUnit.ownership : null;
  }

  async campaign(unit: UnitId): Promise<void> {
    if (this.ownedUnits.has(unit)) return;
    const reading = await this.registry.read(unit);
    if (reading === null || reading.kind === 'damaged' || reading.kind === 'owned') return;
    const sentAt = clock.now();
    const result = await this.registry.claim(unit, this.self, reading);
    if (result.kind !== 'won') return;
    this.ownedUnits.set(unit, { ownership: result.ownership, validUntil: sentAt + LEASE_TTL_MS });
    await this.harness.request(
      HarnessRequest.CreateLease,
      { unit, ttlMs: LEASE_TTL_MS, epoch: result.ownership.epoch },
      STORE_TIMEOUT_MS,
    );
  }

  private scheduleRenewals(): void {
    clock.after(LEASE_RENEW_INTERVAL_MS, () => {
      for (const [unit, ownedUnit] of this.ownedUnits) void this.renew(unit, ownedUnit);
      for (const unit of this.options.units as UnitId[]) void this.campaign(unit);
      this.scheduleRenewals();
    });
  }

  private async renew(
    unit: UnitId,
    ownedUnit: { readonly ownership: Ownership; validUntil: number },
  ): Promise<void> {
    const sentAt = clock.now();
    const answer = await this.harness.request(
      HarnessRequest.RenewLease,
      { unit, epoch: ownedUnit.ownership.epoch },
      STORE_TIMEOUT_MS,
    );
    if (answer === true) ownedUnit.validUntil = sentAt + LEASE_TTL_MS;
    else if (answer === false) this.ownedUnits.delete(unit);
  }
}

/** Periodically starts one job on every unit that this process may act on. */
function scheduleJobStarts(options: ControllerOptions, failover: Failover, harness: Channel): void {
  let jobCount = 0;
  const startJobs = (): void => {
    for (const unit of options.units as UnitId[]) {
      const ownership = failover.currentOwnership(unit);
      if (!ownership) continue;
      const { owner, epoch } = ownership;
      jobCount++;
      const effect: EffectRequest = {
        unit,
        member: owner.member,
        process: owner.process,
        epoch,
        job: `${unit}/${epoch}/${jobCount}`,
      };
      harness.notify(HarnessRequest.Effect, effect);
    }
    clock.after(JOB_START_INTERVAL_MS, startJobs);
  };
  startJobs();
}

function main(): void {
  const options = JSON.parse(process.argv[2] ?? '') as ControllerOptions;
  const socket = dial(options.harnessPort);
  // The controller exits when the connection to the harness closes, because the harness has then exited.
  socket.on('close', () => process.exit(0));
  socket.on('connect', () => {
    let election: LeaseElection | null = null;
    const harness = new Channel(socket, (name, body) => {
      if (name === LEASE_EXPIRED) void election?.campaign(body as UnitId);
      return Promise.resolve(undefined);
    });
    if (options.mode === FailoverMode.LeaseOnly) {
      harness.notify(HarnessRequest.Hello, { member: options.member, port: 0 } satisfies HelloRequest);
      election = new LeaseElection(options, harness);
      scheduleJobStarts(options, election, harness);
    } else {
      void startMembership(options, harness).then((failover) =>
        scheduleJobStarts(options, failover, harness),
      );
    }
  });
}

main();
