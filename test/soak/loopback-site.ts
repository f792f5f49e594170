/**
 * A site on loopback: controllers run as child processes against HTTP fakes of the key-value store, the cloud and the
 * workers.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import type { MachineId, ImageId, JobId, MachineTypeId } from '../../src/model/ids.js';
import { systemClock } from '../../src/model/time.js';
import { TokenBucket } from '../../src/net/token-bucket.js';
import { HttpConnectionPool, type HttpReply } from '../../src/net/http-client.js';
import { FakeCloud } from '../simulation/fake-cloud.js';
import { BACKLOG_TEAM } from '../simulation/scenario.js';
import type { ScenarioSite } from '../simulation/scenario-site.js';
import { RuleChecker } from '../simulation/rule-checker.js';
import { cloudHandler, startHttpServer, storeHandler } from '../simulation/fake-servers.js';
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
import { frontAddressOf, LoopbackControllers, type ControllerLocation } from './loopback-controllers.js';
import { LoopbackMachines } from './loopback-workers.js';
import { ScaledClock } from './scaled-clock.js';

/**
 * The real milliseconds for each millisecond of the scenario clock. At 0.5, users, faults, leases and deadlines run
 * twice as fast as on a simulated site.
 */
const CLOCK_SCALE = 0.5;
const STORE_PORT = 21_001;
const CLOUD_PORT = 21_002;
/** The candidates for the second octet of a site's IP addresses `127.x`. */
const NETWORK_OCTETS = { first: 10, count: 200 };
const LEASE_REAL_S = LEASE_S * CLOCK_SCALE;
const CANCEL_REAL_S = CANCEL_S * CLOCK_SCALE;
const IMAGE_FETCH_MS = 500;
const MACHINE_BOOT_MS = 700;
/** Size limits of the key-value store that are low enough to split progress records into several chunks. */
const LOW_LIMITS = { valueKb: 1, txnOps: 5 };
const DEFAULT_LIMITS = { txnOps: 16, valueBytes: 16 * 1024 };
const LIST_LAG_S = 4;
/** Room for one service of the backlog: the others wait. */
const BACKLOG_TEAM_CPU_LIMIT = 2;
const MAX_USER_SOCKET_COUNT = 100;
const SUBMIT_TIMEOUT_MS = 5000;
const QUERY_TIMEOUT_MS = 2000;
/**
 * The real time from the final check, which follows the last fault, within which each node must answer a query for each
 * accepted job. A job without an answer counts as forgotten (PROTOCOL).
 */
const MAX_UNANSWERED_MS = 75_000;
const QUERY_RETRY_DELAY_MS = 1000;
/** Below the queries that a controller admits at once; one at a time, a pass over a backlog takes longer than 75 s. */
const MAX_CONCURRENT_FINAL_QUERIES = 30;

/** The rate limits of the key-value store. */
export interface StoreRates {
  readonly rps: number;
  readonly writeRps: number;
}

/** The options of `LoopbackSite`. */
export interface LoopbackOptions {
  readonly seed: number;
  readonly controllers: number;
  /** The number of machines that exist before the controllers start. */
  readonly machines: number;
  /** The maximum number of CPUs that each team may use. */
  readonly teamCpuLimit: number;
  /** The minimum number of digits in a machine ID; shorter numbers are padded with zeros. */
  readonly idDigits: number;
  /** Whether the key-value store and the controllers' settings have low size limits from the start. */
  readonly hasLowLimits: boolean;
  /** The rates that the key-value store enforces and the settings name; null: the default ones, not enforced. */
  readonly storeRates: StoreRates | null;
  readonly program: string;
  readonly folder: string;
}

/** Runs scenarios and faults on real processes through the same interface as a simulated site. */
export class LoopbackSite implements ScenarioSite {
  readonly clock = new ScaledClock(CLOCK_SCALE);
  readonly nodes: readonly string[];
  readonly rules = new RuleChecker((text) => this.trace(`BROKEN     ${text}`));
  readonly store = new FakeKeyValueStore(systemClock);
  readonly random: () => number;
  readonly machines: LoopbackMachines;
  readonly controllers: LoopbackControllers;
  private readonly cloud: FakeCloud;
  private hasLowLimits = false;
  private readonly jobs = new Map<JobId, JobBehavior>();
  private readonly traceLines: string[] = [];
  private readonly userConnectionPools: ReadonlyMap<string, HttpConnectionPool>;
  private readonly locations: readonly ControllerLocation[];
  private readonly startedAt = systemClock.now();

  private constructor(
    private readonly options: LoopbackOptions,
    private readonly network: string,
  ) {
    const generator = xoroshiro128plus(options.seed);
    this.random = () => uniformFloat64(generator);
    this.store.random = this.random;
    if (options.storeRates) this.enforceStoreRates(options.storeRates);
    this.nodes = Array.from({ length: options.controllers }, (_, index) => `node-${index}`);
    this.locations = this.nodes.map((member, index) => ({
      member,
      zone: MIXED_ZONES[index % MIXED_ZONES.length] as string,
      host: `${network}.0.${10 + index}`,
    }));
    this.userConnectionPools = new Map(
      this.locations.map((location) => [
        location.member,
        new HttpConnectionPool(frontAddressOf(location), MAX_USER_SOCKET_COUNT),
      ]),
    );
    this.machines = this.createMachines();
    this.controllers = this.createControllers();
    this.cloud = this.createCloud();
  }

  private enforceStoreRates({ rps, writeRps }: StoreRates): void {
    this.store.rateLimits = {
      requests: new TokenBucket(systemClock, rps, rps),
      writes: new TokenBucket(systemClock, writeRps, writeRps),
    };
  }

  private createMachines(): LoopbackMachines {
    return new LoopbackMachines({
      network: this.network,
      nodes: this.nodes,
      frontAddresses: this.locations.map(frontAddressOf),
      leaseMs: LEASE_REAL_S * 1000,
      heartbeatIntervalMs: 1500,
      random: this.random,
      leader: () => this.leader,
      leaderOf: (epoch) => this.controllers.leaderOf(epoch),
      behaviorOf: (id) => this.jobs.get(id),
      onTaskStarted: (task, attemptNumber, machine) => {
        this.trace(`${machine.id} runs ${task} try ${attemptNumber}`);
        this.rules.recordStart(task, machine, this.clock.now());
      },
      onTaskEnded: (task, machine, cause) => {
        this.trace(`${machine.id} ends ${task}: ${cause}`);
        this.rules.recordEnd(task, machine.id, cause === 'done');
      },
      trace: (text) => this.trace(text),
    });
  }

  private createControllers(): LoopbackControllers {
    const { program, folder, teamCpuLimit, storeRates } = this.options;
    return new LoopbackControllers({
      locations: this.locations,
      program,
      folder,
      listener: {
        trace: (text) => this.trace(text),
        recordViolation: (text) => this.rules.recordViolation(text),
      },
      sharedSettings: ({ host }) => ({
        cloud: `${host}:${CLOUD_PORT}`,
        state: `${host}:${STORE_PORT}`,
        zones: MIXED_ZONES,
        teams: [
          ...['red', 'blue'].map((name) => ({ name, cpus: teamCpuLimit / 3, cpusMax: teamCpuLimit })),
          { name: BACKLOG_TEAM, cpus: BACKLOG_TEAM_CPU_LIMIT, cpusMax: BACKLOG_TEAM_CPU_LIMIT },
        ],
        finishObjectiveS: 60,
        heartbeatIntervalS: 1.5,
        leaseS: LEASE_REAL_S,
        cancelS: CANCEL_REAL_S,
        listLagS: LIST_LAG_S,
        cloudRps: 8,
        cpu: 0.5,
        ...(storeRates ? { storeRps: storeRates.rps } : {}),
        nextStoreLimits: this.hasLowLimits ? LOW_LIMITS : null,
      }),
    });
  }

  private createCloud(): FakeCloud {
    const cloud = new FakeCloud(
      systemClock,
      MIXED_MACHINE_TYPES,
      (machine) => this.machines.start(machine),
      (id) => this.machines.remove(id),
      (text) => this.trace(text),
    );
    cloud.bootMs = MACHINE_BOOT_MS;
    cloud.idDigits = this.options.idDigits;
    cloud.listLagMs = LIST_LAG_S * 1000;
    return cloud;
  }

  /**
   * Opens a site on a loopback network on which the ports of the store and the cloud are free. The search starts at an
   * octet that depends on the process ID. Throws if no network is free.
   */
  static async open(options: LoopbackOptions): Promise<LoopbackSite> {
    for (let attempt = 0; attempt < NETWORK_OCTETS.count; attempt++) {
      const networkOctet = NETWORK_OCTETS.first + ((process.pid + attempt) % NETWORK_OCTETS.count);
      const site = new LoopbackSite(options, `127.${networkOctet}`);
      if (!(await site.listen())) continue;
      await site.controllers.prepare();
      if (options.hasLowLimits) site.setLowLimits(true);
      site.adoptMachines();
      return site;
    }
    throw new Error('no loopback network has free addresses for a site');
  }

  /**
   * Starts the fakes of the store and the cloud on the address of each controller. Resolves to false if listening
   * fails.
   */
  private async listen(): Promise<boolean> {
    try {
      for (const { member, host } of this.locations) {
        await startHttpServer(STORE_PORT, host, storeHandler(this.store.clientFor(member, systemClock)));
        const cloud = cloudHandler(this.cloud.clientFor(systemClock), MIXED_MACHINE_TYPES, (id) =>
          this.machines.addressOf(id),
        );
        await startHttpServer(CLOUD_PORT, host, cloud);
      }
      return true;
    } catch {
      return false;
    }
  }

  private adoptMachines(): void {
    for (let number = 0; number < this.options.machines; number++) {
      this.cloud.addRunningMachine({
        id: `host-${String(number).padStart(this.options.idDigits, '0')}` as MachineId,
        type: MIXED_MACHINE_TYPES[number % 4 === 0 ? 1 : 0]?.id as MachineTypeId,
        zone: MIXED_ZONES[number % MIXED_ZONES.length] as (typeof MIXED_ZONES)[0],
        spot: number % 2 === 0,
      });
    }
  }

  /**
   * Sets the size limits of the key-value store to the low limits, or to the defaults if `areLow` is false, and writes
   * the limits to the settings files for controllers that start later.
   */
  setLowLimits(areLow: boolean): void {
    this.trace(`store      takes ${areLow ? 'less' : 'more'}`);
    this.hasLowLimits = areLow;
    this.store.sizeLimits = areLow
      ? { txnOps: LOW_LIMITS.txnOps, valueBytes: LOW_LIMITS.valueKb * 1024 }
      : DEFAULT_LIMITS;
    this.controllers.writeSettings();
  }

  trace(text: string): void {
    this.traceLines.push(`${((systemClock.now() - this.startedAt) / 1000).toFixed(3).padStart(8)}  ${text}`);
  }

  get traceText(): string {
    return `${this.traceLines.join('\n')}\n`;
  }

  /** Waits for a duration in seconds of the scenario clock. */
  run(seconds: number): Promise<void> {
    return this.clock.sleep(seconds * 1000);
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

  pause(node: string, seconds: number): void {
    this.trace(`${node}     stands still`);
    const resume = this.controllers.pause(node);
    this.clock.after(seconds * 1000, () => {
      this.trace(`${node}     goes on`);
      resume();
    });
  }

  zoneOf(node: string): string | undefined {
    return this.locations.find(({ member }) => member === node)?.zone;
  }

  isRunning(node: string): boolean {
    return this.controllers.isRunning(node);
  }

  get leader(): string | undefined {
    return this.controllers.leader;
  }

  get isolatedNodes(): Set<string> {
    return this.controllers.isolatedMembers;
  }

  // Machines

  get workers(): ReadonlyMap<MachineId, FakeWorker> {
    return this.machines.workers;
  }

  worker(id: MachineId): FakeWorker {
    const worker = this.workers.get(id);
    if (!worker) throw new Error(`machine ${id} has no running worker`);
    return worker;
  }

  get cutLinks(): Set<string> {
    return this.machines.cutLinks;
  }

  get inboundPartitioned(): Set<MachineId> {
    return this.machines.inboundPartitioned;
  }

  get outboundPartitioned(): Set<MachineId> {
    return this.machines.outboundPartitioned;
  }

  get duplicateHeartbeatRate(): number {
    return this.machines.duplicateRate;
  }

  set duplicateHeartbeatRate(rate: number) {
    this.machines.duplicateRate = rate;
  }

  holdCommands(_node: string, machine: MachineId): void {
    this.machines.holdCommands(machine);
  }

  releaseCommands(): void {
    this.machines.releaseCommands();
  }

  killMachine(id: MachineId): void {
    this.trace(`${id} dies`);
    this.machines.remove(id);
    this.cloud.machines.delete(id);
  }

  // Users

  private async request(
    node: string,
    method: string,
    path: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<HttpReply | null> {
    try {
      return (await this.userConnectionPools.get(node)?.call(method, path, body, timeoutMs)) ?? null;
    } catch {
      return null;
    }
  }

  /** Registers a job with the fake workers and the rule checker, and returns the body of its submission request. */
  private registerJob(request: JobRequest): ReturnType<typeof submissionBody> {
    const body = submissionBody(request);
    const id = request.ref as JobId;
    this.jobs.set(id, {
      image: 'img-1' as ImageId,
      fetchMs: IMAGE_FETCH_MS,
      runMs: body.shape === 'array' ? (request.runS ?? 5) * 1000 * CLOCK_SCALE : null,
      alwaysFails: false,
    });
    const teamCpuLimit = request.team === BACKLOG_TEAM ? BACKLOG_TEAM_CPU_LIMIT : this.options.teamCpuLimit;
    this.rules.recordSubmission(id, body, teamCpuLimit);
    return body;
  }

  async submitConcurrently(request: JobRequest, node: string): Promise<number> {
    const body = this.registerJob(request);
    const reply = await this.request(node, 'POST', '/v2/runs', body, SUBMIT_TIMEOUT_MS);
    if (reply?.status === 200 || reply?.status === 201)
      this.rules.recordAcceptance(request.ref as JobId, this.clock.now());
    return reply?.status ?? 503;
  }

  async expectRejected(request: JobRequest, node: string, missingField?: string): Promise<void> {
    const body: Record<string, unknown> = { ...submissionBody(request) };
    if (missingField !== undefined) delete body[missingField];
    const reply = await this.request(node, 'POST', '/v2/runs', body, SUBMIT_TIMEOUT_MS);
    const expected = missingField === undefined ? 422 : 400;
    if (reply && reply.status !== expected && reply.status !== 503 && reply.status !== 429)
      this.rules.recordViolation(`accepted: ${request.ref} got ${reply.status} instead of ${expected}`);
  }

  async queryConcurrently(ref: string, node: string): Promise<string | null> {
    const requestedAt = this.clock.now();
    const reply = await this.request(node, 'GET', `/v2/runs/${ref}`, undefined, QUERY_TIMEOUT_MS);
    if (!reply || (reply.status !== 200 && reply.status !== 404)) return null;
    return this.recordState(ref, reply, requestedAt);
  }

  async cancelConcurrently(ref: string, node: string): Promise<string | null> {
    const requestedAt = this.clock.now();
    this.rules.recordCancelRequest(ref);
    const reply = await this.request(node, 'POST', `/v2/runs/${ref}/cancel`, {}, SUBMIT_TIMEOUT_MS);
    if (reply?.status !== 200) return null;
    const state = this.recordState(ref, reply, requestedAt);
    if (state === 'cancelled')
      this.rules.recordConfirmedCancellation(ref as JobId, this.clock.now() + CANCEL_S * 1000);
    return state;
  }

  private recordState(ref: string, reply: HttpReply, requestedAt: number): string {
    const state = reply.status === 404 ? '404' : (reply.body as { status: string }).status;
    this.rules.recordReportedState(ref as JobId, state, this.clock.now(), requestedAt);
    return state;
  }

  runningTaskCount(ref: string): number {
    return this.rules.countRunning((task) => task.startsWith(`${ref}/`));
  }

  /**
   * Checks that jobs whose cancellation deadline has passed have no running task, and that every node answers a query
   * for every accepted job within `MAX_UNANSWERED_MS`.
   */
  async finish(): Promise<void> {
    this.rules.checkCancelled(this.clock.now());
    const deadline = systemClock.now() + MAX_UNANSWERED_MS;
    const unanswered = new Set(
      [...this.rules.acceptedJobs()].flatMap((ref) => this.nodes.map((node) => `${ref} ${node}`)),
    );
    while (unanswered.size > 0 && systemClock.now() < deadline) {
      const queries = [...unanswered];
      for (let start = 0; start < queries.length; start += MAX_CONCURRENT_FINAL_QUERIES) {
        const batch = queries.slice(start, start + MAX_CONCURRENT_FINAL_QUERIES);
        await Promise.all(batch.map((query) => this.askFinally(query, unanswered)));
      }
      if (unanswered.size > 0) await this.clock.sleep(QUERY_RETRY_DELAY_MS);
    }
    for (const query of unanswered)
      this.rules.recordViolation(`forgotten: no answer to a query for ${query}`);
  }

  /** Sends a query, written as job and node, and removes it from `unanswered` if it is answered. */
  private async askFinally(query: string, unanswered: Set<string>): Promise<void> {
    const [ref, node] = query.split(' ') as [string, string];
    if ((await this.queryConcurrently(ref, node)) !== null) unanswered.delete(query);
  }

  /** Kills all controllers and closes the relays between the controllers. */
  async close(): Promise<void> {
    await this.controllers.close();
  }
}
