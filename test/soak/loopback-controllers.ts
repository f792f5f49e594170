/** The controllers of a site on loopback: real processes, the relays between them, and their leaderships. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { Relay } from '@plumyoke/simulation';
import { START_WITHHELD } from '../../src/workers/command-issuer.js';
import { KNOWN_BY_TASK_ONLY } from '../../src/fleet/inventory.js';
import { MIXED_CHUNK_SIZES } from '../../src/leader/open-job-loader.js';
import { ControllerProcess, type LogLine } from './controller-process.js';
import { ObservedSet } from './observed-set.js';
import { type ControllerSettings, settingsFile } from '../simulation/settings-file.js';

const FRONT_PORT = 21_010;
const PEER_PORT = 21_020;

/** Callbacks for the trace and for violations. */
interface ControllerListener {
  trace(text: string): void;
  recordViolation(text: string): void;
}

/** The name, zone and address of a controller. */
export interface ControllerPlace {
  readonly member: string;
  readonly zone: string;
  readonly host: string;
}

/** The options of all controllers. */
export interface ControllersOptions {
  readonly places: readonly ControllerPlace[];
  readonly program: string;
  readonly folder: string;
  /** The settings of a controller other than its own addresses and peers. */
  readonly common: (
    place: ControllerPlace,
  ) => Omit<ControllerSettings, 'member' | 'zone' | 'front' | 'listen' | 'siblings'>;
  readonly listener: ControllerListener;
}

/** Starts, kills and pauses controllers, each a child of this process. */
export class LoopbackControllers {
  /** Members that cannot reach other controllers. */
  readonly isolatedMembers = new ObservedSet<string>();
  /** The number of machines that new leaders knew only from a task's record. */
  machinesKnownByTask = 0;
  /** The number of jobs whose progress new leaders read from records of several chunk sizes. */
  mixedChunkJobs = 0;
  private readonly relay = new Relay();
  private readonly running = new Map<string, ControllerProcess>();
  private readonly ending = new Map<string, Promise<void>>();
  private readonly epochByLeader = new Map<string, number>();
  private readonly leaderByEpoch = new Map<number, string>();
  private readonly siblingsOf = new Map<string, ControllerSettings['siblings']>();

  constructor(private readonly options: ControllersOptions) {
    this.isolatedMembers.onChange = (member, present) => this.setIsolated(member, present);
  }

  private setIsolated(member: string, isIsolated: boolean): void {
    for (const { member: other } of this.options.places) {
      if (other === member) continue;
      for (const [from, to] of [
        [member, other],
        [other, member],
      ] as [string, string][]) {
        if (isIsolated) this.relay.cut(from, to);
        else if (!this.isolatedMembers.has(other)) this.relay.heal(from, to);
      }
    }
  }

  /** Cuts the link from one controller to another in this direction only; the result restores it. */
  cutOneWay(from: string, to: string): () => void {
    this.relay.cut(from, to);
    return () => this.relay.heal(from, to);
  }

  /** Writes all settings files and opens the relays between the controllers. */
  async prepare(): Promise<void> {
    const { places, folder } = this.options;
    mkdirSync(folder, { recursive: true });
    for (const place of places) {
      const siblings: ControllerSettings['siblings'][number][] = [];
      for (const other of places) {
        if (other === place) continue;
        const port = await this.relay.open(place.member, other.member, () => PEER_PORT, other.host);
        siblings.push({ member: other.member, zone: other.zone, address: `127.0.0.1:${port}` });
      }
      this.siblingsOf.set(place.member, siblings);
    }
    this.writeSettings();
  }

  /** Writes all settings files as they are now; a controller reads its own when it starts. */
  writeSettings(): void {
    const { places, folder, common } = this.options;
    for (const place of places) {
      const { member, zone, host } = place;
      const siblings = this.siblingsOf.get(member) ?? [];
      const own = { member, zone, front: frontOf(place), listen: `${host}:${PEER_PORT}`, siblings };
      writeFileSync(join(folder, `${member}.toml`), settingsFile({ ...common(place), ...own }));
    }
  }

  /** Starts a controller once its former process has ended. */
  start(member: string): void {
    void (this.ending.get(member) ?? Promise.resolve()).then(() => this.spawn(member));
  }

  private spawn(member: string): void {
    if (this.running.has(member)) return;
    const { folder, listener, program } = this.options;
    listener.trace(`${member}     starts`);
    const process = new ControllerProcess({
      program,
      settings: join(folder, `${member}.toml`),
      log: join(folder, `${member}.log`),
      onLine: (line) => this.handleLogLine(member, line),
      onExit: (isExpected) => {
        if (!isExpected) listener.recordViolation(`ended: ${member} ended by itself`);
      },
    });
    this.running.set(member, process);
  }

  private handleLogLine(member: string, { msg, ...line }: LogLine): void {
    const { listener } = this.options;
    if (msg === 'elected') {
      const epoch = Number(line['epoch']);
      this.epochByLeader.set(member, epoch);
      this.leaderByEpoch.set(epoch, member);
      listener.trace(`${member}     leads, epoch ${epoch}`);
    }
    if (msg === 'leadership ended') {
      this.epochByLeader.delete(member);
      listener.trace(`${member}     leads no more: ${String(line['reason'])}`);
    }
    if (msg === KNOWN_BY_TASK_ONLY) this.machinesKnownByTask++;
    if (msg === MIXED_CHUNK_SIZES) this.mixedChunkJobs++;
    if (msg === START_WITHHELD) listener.recordViolation(`withheld: ${JSON.stringify(line)}`);
    if (msg === 'uncaught exception')
      listener.recordViolation(`exception: ${member}: ${String(line['error'])}`);
  }

  /** Kills a controller. */
  crash(member: string): void {
    const process = this.running.get(member);
    if (!process) return;
    this.running.delete(member);
    this.epochByLeader.delete(member);
    this.options.listener.trace(`${member}     crashes`);
    this.ending.set(member, process.kill());
  }

  /** Pauses a controller; the result resumes it. */
  pause(member: string): () => void {
    const process = this.running.get(member);
    process?.pause();
    return () => process?.resume();
  }

  isRunning(member: string): boolean {
    return this.running.has(member);
  }

  /** The leader; of several the one with the highest epoch. */
  get leader(): string | undefined {
    return [...this.epochByLeader].sort(([, first], [, second]) => second - first)[0]?.[0];
  }

  /** Returns the leader of an epoch. */
  leaderOf(epoch: number): string | undefined {
    return this.leaderByEpoch.get(epoch);
  }

  /** The number of leaderships so far. */
  get leadershipCount(): number {
    return this.leaderByEpoch.size;
  }

  /** Kills all controllers and closes the relays. */
  async close(): Promise<void> {
    const all = [...this.running.values()];
    this.running.clear();
    await Promise.all([...all.map((process) => process.kill()), ...this.ending.values()]);
    this.relay.close();
  }
}

/** Returns the address at which a controller serves users and workers. */
export function frontOf({ host }: ControllerPlace): string {
  return `${host}:${FRONT_PORT}`;
}
