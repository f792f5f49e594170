/** A whole site on loopback: controllers as processes, and the stand-ins of all that is around them over HTTP. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import type { MachineId, ImageId, JobId, MachineTypeId } from '../../src/model/ids.js';
import { systemClock } from '../../src/model/time.js';
import { HttpTarget, type HttpReply } from '../../src/net/http-client.js';
import { FakeCloud } from '../simulation/fake-cloud.js';
import type { ScenarioSite } from '../simulation/scenario-site.js';
import { RuleChecker } from '../simulation/rule-checker.js';
import { cloudHandler, serve, storeHandler } from '../simulation/fake-servers.js';
import {
  CANCEL_S,
  type JobRequest,
  LEASE_S,
  MIXED_MACHINE_TYPES,
  MIXED_ZONES,
  submissionBody,
} from '../simulation/site-setup.js';
import { FakeKeyValueStore } from '../simulation/fake-key-value-store.js';
import type { JobBehavior, FakeWorker } from '../simulation/fake-worker.js';
import { frontOf, LoopbackControllers, type Place } from './loopback-controllers.js';
import { LoopbackMachines } from './loopback-workers.js';
import { ScaledClock } from './scaled-clock.js';

/** Users, troubles, leases and limits go twice as fast as on the virtual site. */
const SCALE = 0.5;
const STATE_PORT = 21_001;
const CLOUD_PORT = 21_002;
const NETWORKS = { first: 10, count: 200 };
const LEASE_REAL_S = LEASE_S * SCALE;
const CANCEL_REAL_S = CANCEL_S * SCALE;
const FETCH_MS = 500;
const BOOT_MS = 700;
const LIST_LAG_S = 4;
const USERS_SOCKETS = 100;
const SUBMIT_MS = 5000;
const QUERY_MS = 2000;
/** Troubles over, a job about which no question is answered for so long is forgotten (PROTOCOL). */
const FORGOTTEN_MS = 75_000;
const ASK_AGAIN_MS = 1000;

/** How a site is set up. */
export interface LoopbackOptions {
  readonly seed: number;
  readonly controllers: number;
  /** Machines that there are from the beginning. */
  readonly machines: number;
  /** CPUs that each team may use. */
  readonly limit: number;
  readonly program: string;
  readonly folder: string;
}

/** The same interface as the virtual site's, so that the same days and troubles are played. */
export class LoopbackSite implements ScenarioSite {
  readonly clock = new ScaledClock(SCALE);
  readonly nodes: readonly string[];
  readonly rules = new RuleChecker((text) => this.trace(`BROKEN     ${text}`));
  readonly store = new FakeKeyValueStore(systemClock);
  readonly random: () => number;
  readonly machines: LoopbackMachines;
  readonly controllers: LoopbackControllers;
  private readonly cloud: FakeCloud;
  private readonly jobs = new Map<JobId, JobBehavior>();
  private readonly lines: string[] = [];
  private readonly users: ReadonlyMap<string, HttpTarget>;
  private readonly places: readonly Place[];
  private readonly began = systemClock.now();

  private constructor(
    private readonly options: LoopbackOptions,
    private readonly network: string,
  ) {
    const generator = xoroshiro128plus(options.seed);
    this.random = () => uniformFloat64(generator);
    this.store.random = this.random;
    this.nodes = Array.from({ length: options.controllers }, (_, n) => `node-${n}`);
    this.places = this.nodes.map((member, n) => ({
      member,
      zone: MIXED_ZONES[n % MIXED_ZONES.length] as string,
      host: `${network}.0.${10 + n}`,
    }));
    this.users = new Map(
      this.places.map((place) => [place.member, new HttpTarget(frontOf(place), USERS_SOCKETS)]),
    );
    this.machines = this.createMachines();
    this.controllers = this.createControllers();
    this.cloud = this.createCloud();
  }

  private createMachines(): LoopbackMachines {
    return new LoopbackMachines({
      network: this.network,
      nodes: this.nodes,
      fronts: this.places.map(frontOf),
      leaseMs: LEASE_REAL_S * 1000,
      reportMs: 1500,
      random: this.random,
      leader: () => this.leader,
      leaderOf: (epoch) => this.controllers.leaderOf(epoch),
      job: (id) => this.jobs.get(id),
      started: (task, attemptNumber, machine) => {
        this.trace(`${machine.id} runs ${task} try ${attemptNumber}`);
        this.rules.recordStart(task, machine, this.clock.now());
      },
      left: (task, machine, why) => {
        this.trace(`${machine.id} ends ${task}: ${why}`);
        this.rules.recordEnd(task, machine.id, why === 'done');
      },
      trace: (text) => this.trace(text),
    });
  }

  private createControllers(): LoopbackControllers {
    const { program, folder, limit } = this.options;
    return new LoopbackControllers({
      places: this.places,
      program,
      folder,
      listener: { trace: (text) => this.trace(text), breach: (text) => this.rules.recordViolation(text) },
      common: ({ host }) => ({
        cloud: `${host}:${CLOUD_PORT}`,
        state: `${host}:${STATE_PORT}`,
        zones: MIXED_ZONES,
        teams: ['red', 'blue'].map((name) => ({ name, cpus: limit / 3, cpusMax: limit })),
        finishWithinS: 60,
        reportS: 1.5,
        leaseS: LEASE_REAL_S,
        cancelS: CANCEL_REAL_S,
        listLagS: LIST_LAG_S,
        cloudRps: 8,
        cpu: 0.5,
      }),
    });
  }

  private createCloud(): FakeCloud {
    const cloud = new FakeCloud(
      systemClock,
      MIXED_MACHINE_TYPES,
      (machine) => this.machines.begin(machine),
      (id) => this.machines.gone(id),
      (text) => this.trace(text),
    );
    cloud.bootMs = BOOT_MS;
    cloud.listLagMs = LIST_LAG_S * 1000;
    return cloud;
  }

  /** A site whose addresses nobody else on this machine uses. */
  static async open(options: LoopbackOptions): Promise<LoopbackSite> {
    for (let i = 0; i < NETWORKS.count; i++) {
      const part = NETWORKS.first + ((process.pid + i) % NETWORKS.count);
      const site = new LoopbackSite(options, `127.${part}`);
      if (!(await site.listen())) continue;
      await site.controllers.prepare();
      site.adoptMachines();
      return site;
    }
    throw new Error('no addresses are free');
  }

  /** False: somebody else listens there. */
  private async listen(): Promise<boolean> {
    try {
      for (const { member, host } of this.places) {
        await serve(STATE_PORT, host, storeHandler(this.store.clientFor(member, systemClock)));
        const cloud = cloudHandler(this.cloud.clientFor(systemClock), MIXED_MACHINE_TYPES, (id) =>
          this.machines.addressOf(id),
        );
        await serve(CLOUD_PORT, host, cloud);
      }
      return true;
    } catch {
      return false;
    }
  }

  private adoptMachines(): void {
    for (let n = 0; n < this.options.machines; n++)
      this.cloud.adopt({
        id: `host-${String(n).padStart(6, '0')}` as MachineId,
        type: MIXED_MACHINE_TYPES[n % 4 === 0 ? 1 : 0]?.id as MachineTypeId,
        zone: MIXED_ZONES[n % MIXED_ZONES.length] as (typeof MIXED_ZONES)[0],
        spot: n % 2 === 0,
      });
  }

  trace(text: string): void {
    this.lines.push(`${((systemClock.now() - this.began) / 1000).toFixed(3).padStart(8)}  ${text}`);
  }

  get text(): string {
    return `${this.lines.join('\n')}\n`;
  }

  /** `s` seconds of the day's time. */
  run(s: number): Promise<void> {
    return this.clock.sleep(s * 1000);
  }

  // Controllers

  startAll(): void {
    for (const node of this.nodes) this.start(node);
  }

  start(node: string): void {
    this.controllers.start(node);
  }

  crash(node: string): void {
    this.controllers.crash(node);
  }

  pause(node: string, s: number): void {
    this.trace(`${node}     stands still`);
    const goOn = this.controllers.pause(node);
    this.clock.after(s * 1000, () => {
      this.trace(`${node}     goes on`);
      goOn();
    });
  }

  zoneOf(node: string): string | undefined {
    return this.places.find(({ member }) => member === node)?.zone;
  }

  isRunning(node: string): boolean {
    return this.controllers.isRunning(node);
  }

  get leader(): string | undefined {
    return this.controllers.leader;
  }

  get isolatedNodes(): Set<string> {
    return this.controllers.alone;
  }

  // Machines

  get workers(): ReadonlyMap<MachineId, FakeWorker> {
    return this.machines.workers;
  }

  worker(id: MachineId): FakeWorker {
    const worker = this.workers.get(id);
    if (!worker) throw new Error(`${id} is not up`);
    return worker;
  }

  get cutLinks(): Set<string> {
    return this.machines.cuts;
  }

  get inboundPartitioned(): Set<MachineId> {
    return this.machines.oneWay;
  }

  get outboundPartitioned(): Set<MachineId> {
    return this.machines.mute;
  }

  get duplicateHeartbeatRate(): number {
    return this.machines.copyShare;
  }

  set duplicateHeartbeatRate(share: number) {
    this.machines.copyShare = share;
  }

  holdCommands(_node: string, host: MachineId): void {
    this.machines.hold(host);
  }

  releaseCommands(): void {
    this.machines.release();
  }

  killMachine(id: MachineId): void {
    this.trace(`${id} dies`);
    this.machines.gone(id);
    this.cloud.machines.delete(id);
  }

  // Users

  private async ask(
    node: string,
    method: string,
    path: string,
    body: unknown,
    ms: number,
  ): Promise<HttpReply | null> {
    try {
      return (await this.users.get(node)?.call(method, path, body, ms)) ?? null;
    } catch {
      return null;
    }
  }

  /** From now on the job may be accepted, and its tasks may start. */
  private describe(wish: JobRequest): ReturnType<typeof submissionBody> {
    const body = submissionBody(wish);
    const id = wish.ref as JobId;
    this.jobs.set(id, {
      image: 'img-1' as ImageId,
      fetchMs: FETCH_MS,
      runMs: body.shape === 'array' ? (wish.runS ?? 5) * 1000 * SCALE : null,
      failsAlways: false,
    });
    this.rules.recordSubmission(id, body, this.options.limit);
    return body;
  }

  async submitConcurrently(wish: JobRequest, node: string): Promise<number> {
    const body = this.describe(wish);
    const reply = await this.ask(node, 'POST', '/v2/runs', body, SUBMIT_MS);
    if (reply?.status === 200 || reply?.status === 201)
      this.rules.recordAcceptance(wish.ref as JobId, this.clock.now());
    return reply?.status ?? 503;
  }

  async expectRejected(wish: JobRequest, node: string, lacks?: string): Promise<void> {
    const body: Record<string, unknown> = { ...submissionBody(wish) };
    if (lacks !== undefined) delete body[lacks];
    const reply = await this.ask(node, 'POST', '/v2/runs', body, SUBMIT_MS);
    const expected = lacks === undefined ? 422 : 400;
    if (reply && reply.status !== expected && reply.status !== 503 && reply.status !== 429)
      this.rules.recordViolation(`accepted: ${wish.ref} got ${reply.status} instead of ${expected}`);
  }

  async queryConcurrently(ref: string, node: string): Promise<string | null> {
    const askedAt = this.clock.now();
    const reply = await this.ask(node, 'GET', `/v2/runs/${ref}`, undefined, QUERY_MS);
    if (!reply || (reply.status !== 200 && reply.status !== 404)) return null;
    return this.heard(ref, reply, askedAt);
  }

  async cancelConcurrently(ref: string, node: string): Promise<string | null> {
    const askedAt = this.clock.now();
    this.rules.recordCancelRequest(ref);
    const reply = await this.ask(node, 'POST', `/v2/runs/${ref}/cancel`, {}, SUBMIT_MS);
    if (reply?.status !== 200) return null;
    const state = this.heard(ref, reply, askedAt);
    if (state === 'cancelled')
      this.rules.recordCancellation(ref as JobId, this.clock.now() + CANCEL_S * 1000);
    return state;
  }

  private heard(ref: string, reply: HttpReply, askedAt: number): string {
    const state = reply.status === 404 ? '404' : (reply.body as { status: string }).status;
    this.rules.recordReportedState(ref as JobId, state, this.clock.now(), askedAt);
    return state;
  }

  runningTaskCount(ref: string): number {
    return this.rules.countRunning((task) => task.startsWith(`${ref}/`));
  }

  /** Cancelled work is gone, and every node tells of every accepted job. */
  async finish(): Promise<void> {
    this.rules.checkCancelled(this.clock.now());
    const until = systemClock.now() + FORGOTTEN_MS;
    const open = new Set(
      [...this.rules.acceptedJobs()].flatMap((ref) => this.nodes.map((node) => `${ref} ${node}`)),
    );
    while (open.size > 0 && systemClock.now() < until) {
      for (const question of open) {
        const [ref, node] = question.split(' ') as [string, string];
        if ((await this.queryConcurrently(ref, node)) !== null) open.delete(question);
      }
      if (open.size > 0) await this.clock.sleep(ASK_AGAIN_MS);
    }
    for (const question of open) this.rules.recordViolation(`forgotten: no answer for ${question}`);
  }

  async close(): Promise<void> {
    await this.controllers.close();
  }
}
