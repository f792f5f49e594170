/** A test harness that runs simulated controllers as processes of this machine, injects faults and records effects. */
import { type ChildProcess, spawn } from 'node:child_process';
import { createServer, type Server, type Socket } from 'node:net';
import { DEFAULT_TUNING, type MemberId, type MembershipTuning, type ProcessId } from '@plumyoke/membership';
import type { FencingEpoch, UnitId } from '@plumyoke/takeover';
import { EffectHistory } from '../history.js';
import { SharedStore } from '../shared-store.js';
import { Channel } from './channel.js';
import {
  type CommitRequest,
  type ControllerOptions,
  type EffectRequest,
  type EventReport,
  type FailoverMode,
  type HelloRequest,
  HarnessRequest,
  LEASE_EXPIRED,
} from './protocol.js';
import { listenOnFreePort, Relay } from './relay.js';

/** The interval at which the harness checks leases for expiry. */
const LEASE_CHECK_INTERVAL_MS = 50;

interface Lease {
  readonly epoch: number;
  readonly ttlMs: number;
  validUntil: number;
}

/** An event that a controller reported. `at` is the time at which the harness received the event. */
export interface ClusterEvent {
  readonly at: number;
  readonly observer: string;
  readonly kind: string;
  readonly subject: string;
  readonly to: string;
}

/** The owner of a unit under an epoch. `at` is the time of the owner's first accepted effect. */
export interface ServingOwner {
  readonly at: number;
  readonly member: string;
  readonly epoch: number;
}

/** The options of a cluster of controller processes. */
export interface LoopbackClusterOptions {
  readonly controllers: number;
  readonly units: number;
  readonly mode: FailoverMode;
  /** The path of the controller's program, as built by `buildController`. */
  readonly program: string;
  readonly tuning?: MembershipTuning;
}

interface ControllerProcess {
  readonly child: ChildProcess;
  isPaused: boolean;
}

const now = (): number => performance.now();

/** A cluster of controllers as child processes, with their shared store, their resources and the links between them. */
export class LoopbackCluster {
  readonly members: readonly string[];
  readonly units: readonly UnitId[];
  readonly history = new EffectHistory();
  readonly events: ClusterEvent[] = [];
  readonly store: SharedStore;
  private readonly relay = new Relay();
  private readonly running = new Map<string, ControllerProcess>();
  private readonly channels = new Map<string, Channel>();
  private readonly controllerPorts = new Map<string, number>();
  private readonly relayPorts = new Map<string, number>();
  private readonly leases = new Map<string, Lease>();
  private readonly servingOwners = new Map<UnitId, ServingOwner>();
  /** The time of the last claim of each unit. */
  private readonly lastClaimTimes = new Map<UnitId, number>();
  private readonly leaseTimer: NodeJS.Timeout;
  private server: Server | null = null;
  private harnessPort = 0;

  constructor(private readonly options: LoopbackClusterOptions) {
    this.members = Array.from({ length: options.controllers }, (_, index) => `c${index}`);
    this.units = Array.from({ length: options.units }, (_, index) => `unit-${index}` as UnitId);
    const clock = {
      now,
      wall: () => Date.now(),
      after: (delayMs: number, run: () => void) => {
        const timer = setTimeout(run, delayMs);
        return () => clearTimeout(timer);
      },
    };
    this.store = new SharedStore(clock, Math.random);
    this.leaseTimer = setInterval(() => this.expireLeases(), LEASE_CHECK_INTERVAL_MS);
  }

  /** Starts the harness and all controllers. */
  async start(): Promise<void> {
    // A paused child does not notice that the connection to the harness has closed, and would outlive this process.
    process.once('exit', this.killAll);
    this.server = createServer((socket) => this.accept(socket));
    this.harnessPort = await listenOnFreePort(this.server);
    for (const from of this.members) {
      for (const to of this.members) {
        if (from === to) continue;
        this.relayPorts.set(
          `${from} ${to}`,
          await this.relay.open(from, to, () => this.controllerPorts.get(to) ?? 0),
        );
      }
    }
    for (const member of this.members) this.spawn(member);
  }

  private accept(socket: Socket): void {
    let member = '';
    const channel: Channel = new Channel(socket, (name, body) => {
      if (name === (HarnessRequest.Hello as string)) {
        const hello = body as HelloRequest;
        member = hello.member;
        this.controllerPorts.set(member, hello.port);
        this.channels.set(member, channel);
        return Promise.resolve(undefined);
      }
      return Promise.resolve(this.handleRequest(member, name as HarnessRequest, body));
    });
  }

  private handleRequest(member: string, name: HarnessRequest, body: unknown): unknown {
    switch (name) {
      case HarnessRequest.Effect:
        this.recordEffect(body as EffectRequest);
        return undefined;
      case HarnessRequest.Event:
        this.events.push({ at: now(), observer: member, ...(body as EventReport) });
        return undefined;
      default:
        if (this.store.refusedClients.has(member)) return 'refused';
        return this.handleStoreRequest(name, body);
    }
  }

  private handleStoreRequest(name: HarnessRequest, body: unknown): unknown {
    switch (name) {
      case HarnessRequest.Get:
        return { value: this.store.get(String(body)) };
      case HarnessRequest.Commit:
        return { value: this.commit(body as CommitRequest) };
      case HarnessRequest.CreateLease: {
        const { unit, ttlMs, epoch } = body as { unit: string; ttlMs: number; epoch: number };
        this.leases.set(unit, { epoch, ttlMs, validUntil: now() + ttlMs });
        return true;
      }
      case HarnessRequest.RenewLease: {
        const { unit, epoch } = body as { unit: string; epoch: number };
        const lease = this.leases.get(unit);
        if (lease?.epoch !== epoch) return false;
        lease.validUntil = now() + lease.ttlMs;
        return true;
      }
      default:
        return null;
    }
  }

  private commit({ conditions, writes }: CommitRequest): unknown {
    const result = this.store.commit(conditions, writes);
    for (const { key, value } of result.committed ? writes : []) {
      const unit = /^ownership\/(.*)\/epoch$/.exec(key)?.[1];
      if (unit !== undefined && value !== null) this.lastClaimTimes.set(unit as UnitId, now());
    }
    return result;
  }

  private recordEffect({ unit, member, process, epoch, job }: EffectRequest): void {
    const owner = { member: member as MemberId, process: process as ProcessId };
    const effect = { unit: unit as UnitId, owner, epoch: epoch as FencingEpoch };
    if (!this.history.recordJobStart(job, effect, now())) return;
    const serving = this.servingOwners.get(unit as UnitId);
    if (serving === undefined || epoch > serving.epoch) {
      this.servingOwners.set(unit as UnitId, { at: now(), member, epoch });
    }
  }

  private expireLeases(): void {
    for (const [unit, lease] of this.leases) {
      if (lease.validUntil > now()) continue;
      this.leases.delete(unit);
      this.store.delete(`ownership/${unit}/holder`);
      for (const channel of this.channels.values()) channel.notify(LEASE_EXPIRED, unit);
    }
  }

  /** Returns the owner with the highest epoch whose effect on the unit was accepted; null: no effect was accepted. */
  servingOwner(unit: UnitId): ServingOwner | null {
    return this.servingOwners.get(unit) ?? null;
  }

  /** Returns the time of the unit's last claim; 0: the unit was never claimed. */
  lastClaimAt(unit: UnitId): number {
    return this.lastClaimTimes.get(unit) ?? 0;
  }

  // Fault injection. Signals go only to child processes of this process.

  /** Starts a controller's process unless that process is running. */
  spawn(member: string): void {
    if (this.running.has(member)) return;
    const peers: Record<string, number> = {};
    for (const other of this.members) {
      if (other !== member) peers[other] = this.relayPorts.get(`${member} ${other}`) ?? 0;
    }
    const options: ControllerOptions = {
      member,
      mode: this.options.mode,
      units: this.units,
      tuning: this.options.tuning ?? DEFAULT_TUNING,
      peers,
      harnessPort: this.harnessPort,
    };
    const child = spawn(process.execPath, [this.options.program, JSON.stringify(options)], {
      stdio: 'ignore',
    });
    this.running.set(member, { child, isPaused: false });
  }

  /** Kills a controller's process with SIGKILL. */
  kill(member: string): void {
    const running = this.running.get(member);
    if (!running) return;
    this.running.delete(member);
    running.child.kill('SIGKILL');
  }

  /** Suspends a controller's process with SIGSTOP. */
  pause(member: string): void {
    const running = this.running.get(member);
    if (!running) return;
    running.isPaused = true;
    running.child.kill('SIGSTOP');
  }

  /** Resumes a paused controller's process with SIGCONT. */
  resume(member: string): void {
    const running = this.running.get(member);
    if (!running?.isPaused) return;
    running.isPaused = false;
    running.child.kill('SIGCONT');
  }

  /** Drops all messages from `member` to its peers. */
  cutOutbound(member: string): void {
    for (const other of this.members) if (other !== member) this.relay.cut(member, other);
  }

  /** Drops all messages from the peers of `member` to `member`. */
  cutInbound(member: string): void {
    for (const other of this.members) if (other !== member) this.relay.cut(other, member);
  }

  private readonly killAll = (): void => {
    for (const member of [...this.running.keys()]) this.kill(member);
  };

  /** Ends all faults: restores all links, lets the store serve all controllers, and resumes or starts every process. */
  endFaults(): void {
    this.relay.healAll();
    this.store.refusedClients.clear();
    for (const member of this.members) {
      this.resume(member);
      this.spawn(member);
    }
  }

  /** Kills all child processes and closes all ports. */
  close(): void {
    process.off('exit', this.killAll);
    clearInterval(this.leaseTimer);
    this.killAll();
    this.server?.close();
    this.relay.close();
  }
}
