/** The controllers of a site on loopback: real processes, the relays between them, and who of them leads. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { Relay } from '@plumyoke/simulation';
import { START_WITHHELD } from '../../src/workers/command-issuer.js';
import { KNOWN_BY_TASK_ONLY } from '../../src/fleet/inventory.js';
import { ControllerProcess, type LogLine } from './controller-process.js';
import { ObservedSet } from './observed-set.js';
import { type ControllerSettings, settingsFile } from '../simulation/settings-file.js';

const FRONT_PORT = 21_010;
const PEER_PORT = 21_020;

/** What is told of them. */
interface ControllerListener {
  trace(text: string): void;
  breach(text: string): void;
}

/** Where a controller of this site is. */
export interface Place {
  readonly member: string;
  readonly zone: string;
  readonly host: string;
}

/** What all of them are started with. */
export interface ControllersOptions {
  readonly places: readonly Place[];
  readonly program: string;
  readonly folder: string;
  /** What a controller's settings say beside its own addresses and siblings. */
  readonly common: (
    place: Place,
  ) => Omit<ControllerSettings, 'member' | 'zone' | 'front' | 'listen' | 'siblings'>;
  readonly listener: ControllerListener;
}

/** Starts, kills and stops controllers, each a child of this process, by its id. */
export class LoopbackControllers {
  /** Those that reach no other controller. */
  readonly alone = new ObservedSet<string>();
  /** Machines that new leaders knew by a task alone. */
  unknownMachines = 0;
  private readonly relay = new Relay();
  private readonly running = new Map<string, ControllerProcess>();
  private readonly ending = new Map<string, Promise<void>>();
  private readonly leading = new Map<string, number>();
  private readonly epochs = new Map<number, string>();

  constructor(private readonly options: ControllersOptions) {
    this.alone.onChange = (member, present) => this.isolate(member, present);
  }

  private isolate(member: string, alone: boolean): void {
    for (const { member: other } of this.options.places) {
      if (other === member) continue;
      for (const [from, to] of [
        [member, other],
        [other, member],
      ] as [string, string][]) {
        if (alone) this.relay.cut(from, to);
        else if (!this.alone.has(other)) this.relay.heal(from, to);
      }
    }
  }

  /** Nothing passes from one controller to the other, in this direction alone. */
  cutOneWay(from: string, to: string): () => void {
    this.relay.cut(from, to);
    return () => this.relay.heal(from, to);
  }

  /** Writes all settings; the relays between the controllers listen. */
  async prepare(): Promise<void> {
    const { places, folder, common } = this.options;
    mkdirSync(folder, { recursive: true });
    for (const place of places) {
      const siblings: ControllerSettings['siblings'][number][] = [];
      for (const other of places) {
        if (other === place) continue;
        const port = await this.relay.open(place.member, other.member, () => PEER_PORT, other.host);
        siblings.push({ member: other.member, zone: other.zone, address: `127.0.0.1:${port}` });
      }
      const { member, zone, host } = place;
      const own = { member, zone, front: frontOf(place), listen: `${host}:${PEER_PORT}`, siblings };
      writeFileSync(join(folder, `${member}.toml`), settingsFile({ ...common(place), ...own }));
    }
  }

  /** Once a former process of this name has ended. */
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
      onLine: (line) => this.read(member, line),
      onExit: (expected) => {
        if (!expected) listener.breach(`ended: ${member} ended by itself`);
      },
    });
    this.running.set(member, process);
  }

  private read(member: string, { msg, ...line }: LogLine): void {
    const { listener } = this.options;
    if (msg === 'elected') {
      const epoch = Number(line['epoch']);
      this.leading.set(member, epoch);
      this.epochs.set(epoch, member);
      listener.trace(`${member}     leads, epoch ${epoch}`);
    }
    if (msg === 'leadership ended') {
      this.leading.delete(member);
      listener.trace(`${member}     leads no more: ${String(line['reason'])}`);
    }
    if (msg === KNOWN_BY_TASK_ONLY) this.unknownMachines++;
    if (msg === START_WITHHELD) listener.breach(`withheld: ${JSON.stringify(line)}`);
    if (msg === 'uncaught exception') listener.breach(`exception: ${member}: ${String(line['error'])}`);
  }

  crash(member: string): void {
    const process = this.running.get(member);
    if (!process) return;
    this.running.delete(member);
    this.leading.delete(member);
    this.options.listener.trace(`${member}     crashes`);
    this.ending.set(member, process.kill());
  }

  pause(member: string): () => void {
    const process = this.running.get(member);
    process?.pause();
    return () => process?.goOn();
  }

  isRunning(member: string): boolean {
    return this.running.has(member);
  }

  /** Of several the one with the newest epoch. */
  get leader(): string | undefined {
    return [...this.leading].sort(([, a], [, b]) => b - a)[0]?.[0];
  }

  /** Who led under an epoch. */
  leaderOf(epoch: number): string | undefined {
    return this.epochs.get(epoch);
  }

  get leaderships(): number {
    return this.epochs.size;
  }

  async close(): Promise<void> {
    const all = [...this.running.values()];
    this.running.clear();
    await Promise.all([...all.map((process) => process.kill()), ...this.ending.values()]);
    this.relay.close();
  }
}

/** Where a controller answers users and workers. */
export function frontOf({ host }: Place): string {
  return `${host}:${FRONT_PORT}`;
}
