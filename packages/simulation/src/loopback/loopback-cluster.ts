/** Runs stand-in controllers as processes of this machine, makes them fail, and records what they do. */
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
  LabRequest,
  VACANT,
} from './protocol.js';
import { listen, Relay } from './relay.js';

/** How often grants are looked at. */
const EXPIRY_EVERY_MS = 50;

interface Grant {
  readonly epoch: number;
  readonly ttlMs: number;
  until: number;
}

/** Something that happened, on the laboratory's clock. */
export interface LabEvent {
  readonly at: number;
  readonly observer: string;
  readonly kind: string;
  readonly subject: string;
  readonly to: string;
}

/** The first accepted effect of an epoch: from then on its owner serves. */
export interface Served {
  readonly at: number;
  readonly member: string;
  readonly epoch: number;
}

/** What is run. */
export interface LaboratoryOptions {
  readonly controllers: number;
  readonly units: number;
  readonly mode: FailoverMode;
  /** The built program of a stand-in controller. */
  readonly program: string;
  readonly tuning?: MembershipTuning;
}

interface Running {
  readonly child: ChildProcess;
  stopped: boolean;
}

const now = (): number => performance.now();

/** Controllers, their store, their resources, and the links between them. */
export class Laboratory {
  readonly members: readonly string[];
  readonly units: readonly UnitId[];
  readonly history = new EffectHistory();
  readonly events: LabEvent[] = [];
  readonly store: SharedStore;
  private readonly relay = new Relay();
  private readonly running = new Map<string, Running>();
  private readonly channels = new Map<string, Channel>();
  private readonly ports = new Map<string, number>();
  private readonly routes = new Map<string, number>();
  private readonly grants = new Map<string, Grant>();
  private readonly serving = new Map<UnitId, Served>();
  /** When the holder's record of a unit was last claimed. */
  private readonly claimedAt = new Map<UnitId, number>();
  private readonly expiry: NodeJS.Timeout;
  private server: Server | null = null;
  private labPort = 0;

  constructor(private readonly options: LaboratoryOptions) {
    this.members = Array.from({ length: options.controllers }, (_, n) => `c${n}`);
    this.units = Array.from({ length: options.units }, (_, n) => `unit-${n}` as UnitId);
    const clock = {
      now,
      wall: () => Date.now(),
      after: (delayMs: number, run: () => void) => {
        const timer = setTimeout(run, delayMs);
        return () => clearTimeout(timer);
      },
    };
    this.store = new SharedStore(clock, Math.random);
    this.expiry = setInterval(() => this.expire(), EXPIRY_EVERY_MS);
  }

  async start(): Promise<void> {
    this.server = createServer((socket) => this.accept(socket));
    this.labPort = await listen(this.server);
    for (const from of this.members) {
      for (const to of this.members) {
        if (from === to) continue;
        this.routes.set(`${from} ${to}`, await this.relay.open(from, to, () => this.ports.get(to) ?? 0));
      }
    }
    for (const member of this.members) this.spawn(member);
  }

  private accept(socket: Socket): void {
    let member = '';
    const channel: Channel = new Channel(socket, (ask, body) => {
      if (ask === (LabRequest.Hello as string)) {
        const hello = body as HelloRequest;
        member = hello.member;
        this.ports.set(member, hello.port);
        this.channels.set(member, channel);
        return Promise.resolve(undefined);
      }
      return Promise.resolve(this.answer(member, ask as LabRequest, body));
    });
  }

  private answer(member: string, ask: LabRequest, body: unknown): unknown {
    switch (ask) {
      case LabRequest.Effect:
        this.effect(body as EffectRequest);
        return undefined;
      case LabRequest.Event:
        this.events.push({ at: now(), observer: member, ...(body as EventReport) });
        return undefined;
      default:
        if (this.store.refused.has(member)) return 'refused';
        return this.answerStore(ask, body);
    }
  }

  private answerStore(ask: LabRequest, body: unknown): unknown {
    switch (ask) {
      case LabRequest.Get:
        return { value: this.store.get(String(body)) };
      case LabRequest.Commit:
        return { value: this.commit(body as CommitRequest) };
      case LabRequest.Grant: {
        const { unit, ttlMs, epoch } = body as { unit: string; ttlMs: number; epoch: number };
        this.grants.set(unit, { epoch, ttlMs, until: now() + ttlMs });
        return true;
      }
      case LabRequest.Touch: {
        const { unit, epoch } = body as { unit: string; epoch: number };
        const grant = this.grants.get(unit);
        if (grant?.epoch !== epoch) return false;
        grant.until = now() + grant.ttlMs;
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
      if (unit !== undefined && value !== null) this.claimedAt.set(unit as UnitId, now());
    }
    return result;
  }

  private effect({ unit, member, process, epoch, job }: EffectRequest): void {
    const owner = { member: member as MemberId, process: process as ProcessId };
    const effect = { unit: unit as UnitId, owner, epoch: epoch as FencingEpoch };
    if (!this.history.begin(job, effect, now())) return;
    const serving = this.serving.get(unit as UnitId);
    if (serving === undefined || epoch > serving.epoch) {
      this.serving.set(unit as UnitId, { at: now(), member, epoch });
    }
  }

  private expire(): void {
    for (const [unit, grant] of this.grants) {
      if (grant.until > now()) continue;
      this.grants.delete(unit);
      this.store.delete(`ownership/${unit}/holder`);
      for (const channel of this.channels.values()) channel.tell(VACANT, unit);
    }
  }

  /** Who serves the unit, by its effects. */
  served(unit: UnitId): Served | null {
    return this.serving.get(unit) ?? null;
  }

  lastClaimAt(unit: UnitId): number {
    return this.claimedAt.get(unit) ?? 0;
  }

  // Failures, each of a child of this process, by its id

  spawn(member: string): void {
    if (this.running.has(member)) return;
    const peers: Record<string, number> = {};
    for (const other of this.members) {
      if (other !== member) peers[other] = this.routes.get(`${member} ${other}`) ?? 0;
    }
    const options: ControllerOptions = {
      member,
      mode: this.options.mode,
      units: this.units,
      tuning: this.options.tuning ?? DEFAULT_TUNING,
      peers,
      labPort: this.labPort,
    };
    const child = spawn(process.execPath, [this.options.program, JSON.stringify(options)], {
      stdio: 'ignore',
    });
    this.running.set(member, { child, stopped: false });
  }

  kill(member: string): void {
    const running = this.running.get(member);
    if (!running) return;
    this.running.delete(member);
    running.child.kill('SIGKILL');
  }

  stopProcess(member: string): void {
    const running = this.running.get(member);
    if (!running) return;
    running.stopped = true;
    running.child.kill('SIGSTOP');
  }

  continueProcess(member: string): void {
    const running = this.running.get(member);
    if (!running?.stopped) return;
    running.stopped = false;
    running.child.kill('SIGCONT');
  }

  /** No message of `member` arrives at its peers. */
  mute(member: string): void {
    for (const other of this.members) if (other !== member) this.relay.cut(member, other);
  }

  /** No message of its peers arrives at `member`. */
  deafen(member: string): void {
    for (const other of this.members) if (other !== member) this.relay.cut(other, member);
  }

  /** Everything runs, and every link works. */
  heal(): void {
    this.relay.healAll();
    this.store.refused.clear();
    for (const member of this.members) {
      this.continueProcess(member);
      this.spawn(member);
    }
  }

  /** Ends all children and closes all ports. */
  close(): void {
    clearInterval(this.expiry);
    for (const member of [...this.running.keys()]) this.kill(member);
    this.server?.close();
    this.relay.close();
  }
}
