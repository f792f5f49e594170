/**
 * Controllers of a site on loopback: the child processes, the relays between the controllers, and the elected leaders.
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { Relay } from '@plumyoke/simulation';
import { UNANSWERED_MESSAGE } from '../../src/api/unanswered-queries.js';
import { START_WITHHELD_MESSAGE } from '../../src/workers/command-issuer.js';
import { MACHINE_KNOWN_BY_TASK_ONLY_MESSAGE } from '../../src/fleet/inventory.js';
import { MIXED_CHUNK_SIZES_MESSAGE } from '../../src/leader/open-job-loader.js';
import { ControllerProcess, type LogLine } from './controller-process.js';
import { ObservedSet } from './observed-set.js';
import { type ControllerSettings, settingsFile } from '../simulation/settings-file.js';

const FRONT_PORT = 21_010;
const PEER_PORT = 21_020;

/** Receives trace lines and rule violations. */
interface ControllerListener {
  trace(text: string): void;
  recordViolation(text: string): void;
}

/** The member name, the zone and the IP address of a controller. */
export interface ControllerLocation {
  readonly member: string;
  readonly zone: string;
  readonly host: string;
}

/** The options of `LoopbackControllers`. */
export interface ControllersOptions {
  readonly locations: readonly ControllerLocation[];
  readonly program: string;
  readonly folder: string;
  /** Returns the settings of a controller except its member name, zone, addresses and peers. */
  readonly sharedSettings: (
    location: ControllerLocation,
  ) => Omit<ControllerSettings, 'member' | 'zone' | 'front' | 'listen' | 'siblings'>;
  readonly listener: ControllerListener;
}

/** Starts, kills and pauses the controllers. Each controller is a child process. */
export class LoopbackControllers {
  /** Members whose links to and from all other controllers are cut. */
  readonly isolatedMembers = new ObservedSet<string>();
  /** The number of times that a newly elected leader knew a machine only from a task record. */
  machinesKnownByTask = 0;
  /** The number of times that a newly elected leader read a job's progress from records of several chunk sizes. */
  mixedChunkJobs = 0;
  private readonly relay = new Relay();
  private readonly running = new Map<string, ControllerProcess>();
  private readonly exitByMember = new Map<string, Promise<void>>();
  private readonly epochByLeader = new Map<string, number>();
  private readonly leaderByEpoch = new Map<number, string>();
  private readonly siblingsByMember = new Map<string, ControllerSettings['siblings']>();

  constructor(private readonly options: ControllersOptions) {
    this.isolatedMembers.onChange = (member, present) => this.setIsolated(member, present);
  }

  private setIsolated(member: string, isIsolated: boolean): void {
    for (const { member: other } of this.options.locations) {
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

  /** Cuts the link from one controller to another in this direction only. Returns a function that restores the link. */
  cutOneWay(from: string, to: string): () => void {
    this.relay.cut(from, to);
    return () => this.relay.heal(from, to);
  }

  /** Opens the relays between the controllers and writes the settings files. */
  async prepare(): Promise<void> {
    const { locations, folder } = this.options;
    mkdirSync(folder, { recursive: true });
    for (const location of locations) {
      const siblings: ControllerSettings['siblings'][number][] = [];
      for (const other of locations) {
        if (other === location) continue;
        const relayPort = await this.relay.open(location.member, other.member, () => PEER_PORT, other.host);
        siblings.push({ member: other.member, zone: other.zone, address: `127.0.0.1:${relayPort}` });
      }
      this.siblingsByMember.set(location.member, siblings);
    }
    this.writeSettings();
  }

  /** Writes the current settings of each controller to its file. A controller reads the file only at startup. */
  writeSettings(): void {
    const { locations, folder, sharedSettings } = this.options;
    for (const location of locations) {
      const { member, zone, host } = location;
      const siblings = this.siblingsByMember.get(member) ?? [];
      const ownSettings = {
        member,
        zone,
        front: frontAddressOf(location),
        listen: `${host}:${PEER_PORT}`,
        siblings,
      };
      writeFileSync(
        join(folder, `${member}.toml`),
        settingsFile({ ...sharedSettings(location), ...ownSettings }),
      );
    }
  }

  /** Starts a controller once its previous child process has exited. Has no effect on a running controller. */
  start(member: string): void {
    void (this.exitByMember.get(member) ?? Promise.resolve()).then(() => this.spawn(member));
  }

  private spawn(member: string): void {
    if (this.running.has(member)) return;
    const { folder, listener, program } = this.options;
    listener.trace(`${member}     starts`);
    const controller = new ControllerProcess({
      program,
      settings: join(folder, `${member}.toml`),
      log: join(folder, `${member}.log`),
      onLine: (line) => this.handleLogLine(member, line),
      onExit: (isExpected) => {
        if (!isExpected) listener.recordViolation(`ended: ${member} exited without being killed`);
      },
    });
    this.running.set(member, controller);
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
    if (msg === MACHINE_KNOWN_BY_TASK_ONLY_MESSAGE) this.machinesKnownByTask++;
    if (msg === MIXED_CHUNK_SIZES_MESSAGE) this.mixedChunkJobs++;
    if (msg === START_WITHHELD_MESSAGE) listener.recordViolation(`withheld: ${JSON.stringify(line)}`);
    if (msg === UNANSWERED_MESSAGE) listener.recordViolation(`forgotten: ${member}: ${JSON.stringify(line)}`);
    if (msg === 'uncaught exception')
      listener.recordViolation(`exception: ${member}: ${String(line['error'])}`);
  }

  /** Kills a controller; `start` starts the controller again. */
  crash(member: string): void {
    const controller = this.running.get(member);
    if (!controller) return;
    this.running.delete(member);
    this.epochByLeader.delete(member);
    this.options.listener.trace(`${member}     crashes`);
    this.exitByMember.set(member, controller.kill());
  }

  /** Suspends a controller. Returns a function that resumes the controller. */
  pause(member: string): () => void {
    const controller = this.running.get(member);
    controller?.pause();
    return () => controller?.resume();
  }

  isRunning(member: string): boolean {
    return this.running.has(member);
  }

  /** The elected leader; if several controllers lead, the one with the highest epoch; undefined if none leads. */
  get leader(): string | undefined {
    return [...this.epochByLeader].sort(([, first], [, second]) => second - first)[0]?.[0];
  }

  /** Returns the member that was elected for an epoch; undefined if no election for the epoch was logged. */
  leaderOf(epoch: number): string | undefined {
    return this.leaderByEpoch.get(epoch);
  }

  /** The number of epochs for which a leader has been elected. */
  get leadershipCount(): number {
    return this.leaderByEpoch.size;
  }

  /** Kills all controllers and closes the relays. */
  async close(): Promise<void> {
    const processes = [...this.running.values()];
    this.running.clear();
    await Promise.all([...processes.map((controller) => controller.kill()), ...this.exitByMember.values()]);
    this.relay.close();
  }
}

/** Returns the address on which a controller serves users and workers. */
export function frontAddressOf({ host }: ControllerLocation): string {
  return `${host}:${FRONT_PORT}`;
}
