/** A simulated site with many open jobs whose users poll, through the same admission and routing as in a process. */
import { Admission } from '../../src/api/admission.js';
import type { RefusalCounts, RefusalReason } from '../../src/api/refusals.js';
import { UnansweredQueries } from '../../src/api/unanswered-queries.js';
import { StepMonitor } from '../../src/core/step-monitor.js';
import { MemoryMonitor } from '../../src/controller/memory-monitor.js';
import { StoreConnectivityMonitor } from '../../src/controller/store-connectivity-monitor.js';
import { UserRouter } from '../../src/controller/user-router.js';
import { type Logger, silentLogger } from '../../src/log/logger.js';
import type { JobId } from '../../src/model/ids.js';
import type { WallTime } from '../../src/model/time.js';
import { TokenBucket } from '../../src/net/token-bucket.js';
import { encodeJob } from '../../src/store/job-record.js';
import { keys } from '../../src/store/keys.js';
import type { WriteOperation } from '../../src/wire/key-value-store.js';
import type { Settings } from '../../src/wire/settings.js';
import { PollingUser, type PollResponse } from './polling-user.js';
import { SimulatedSite } from './simulated-site.js';
import { type JobRequest, siteSettings, submissionBody } from './site-setup.js';
import { submission } from './submission.js';

/** The numbers of submissions and queries that a controller processes concurrently, as in `Controller`. */
const MAX_ACTIVE = { submission: 48, query: 96 };
/** The jobs that one transaction accepts: each takes two of the 16 writes. */
const JOBS_PER_TXN = 8;
const HEAP_LIMIT_BYTES = 100;

/** Returns the id of the n-th job of a site. */
export const jobIdOf = (n: number): JobId => `j-${String(n).padStart(6, '0')}` as JobId;

function acceptanceOf(request: JobRequest): WriteOperation[] {
  const spec = submission(submissionBody(request));
  const { id } = spec;
  const value = encodeJob({ spec, state: 'accepted', acceptedAt: 0 as WallTime });
  return [keys.job(id), keys.openHead(id)].map((key) => ({ set: key, value }));
}

/** A site whose controllers know each other from their settings and watch the job records. */
export class PolledSite extends SimulatedSite {
  /** The heap usage that every controller reads, as a fraction of its limit. */
  heapRatio = 0.5;
  /** The users who poll, one for each job. */
  readonly users: PollingUser[] = [];
  /** The jobs that a controller logged as unanswered for too long. */
  readonly overdueJobs: string[] = [];
  private readonly routers = new Map<string, UserRouter>();

  /** Accepts services at a rate that the store's limits do not bound, and creates the users who poll for them. */
  async acceptServices(count: number): Promise<void> {
    const ids = Array.from({ length: count }, (_, n) => jobIdOf(n));
    await this.acceptDirectly(ids.map((ref) => ({ ref, kind: 'service', cpus: 2 })));
    for (const id of ids) this.addUser(id);
  }

  /**
   * Writes the records of accepted jobs, at a rate that the store's limits do not bound. No transaction holds a job and
   * one that it depends on, since a job can only name accepted jobs.
   */
  async acceptDirectly(requests: readonly JobRequest[]): Promise<void> {
    const client = this.store.clientFor('accepting', this.clock);
    for (let batch: JobRequest[] = [], index = 0; index < requests.length; batch = []) {
      const refs = new Set<string>();
      for (; index < requests.length && batch.length < JOBS_PER_TXN; index++) {
        const request = requests[index] as JobRequest;
        if (request.awaits?.some((ref) => refs.has(ref))) break;
        refs.add(request.ref);
        batch.push(request);
        this.registerJob(request, this.nodes[0] as string);
        this.rules.recordAcceptance(request.ref as JobId);
      }
      void client.txn([], batch.flatMap(acceptanceOf));
      await this.clock.advance(10);
    }
  }

  /** Lets a controller load the open jobs again: the changes after the revision that it has reached are discarded. */
  async missChanges(): Promise<void> {
    this.store.compact();
    await this.run(1);
  }

  /** Adds a user who polls for a job, known or not. */
  addUser(id: JobId): PollingUser {
    const user = new PollingUser(id, this.clock, this.random, (job) => this.poll(job));
    this.users.push(user);
    return user;
  }

  /** Makes the store enforce the rates of the settings from now on. */
  enforceStoreRates(): void {
    const { rps, writeRps } = siteSettings('node-0', this.size).storeLimits;
    this.store.rateLimits = {
      requests: new TokenBucket(this.clock, rps, rps),
      writes: new TokenBucket(this.clock, writeRps, writeRps),
    };
  }

  /** Returns the refusals of all running controllers since the last call, by reason. */
  takeRefusals(): RefusalCounts {
    const total: RefusalCounts = {};
    for (const { users } of this.running.values()) {
      for (const [reason, count] of Object.entries(users.refusals.takeCounts()) as [RefusalReason, number][])
        total[reason] = (total[reason] ?? 0) + count;
    }
    return total;
  }

  override start(name: string): void {
    super.start(name);
    const { clock, users } = this.running.get(name) ?? {};
    if (!clock || !users) return;
    const memory = new MemoryMonitor(
      clock,
      () => users.evictIdleJobs(),
      () => ({ used_heap_size: HEAP_LIMIT_BYTES * this.heapRatio, heap_size_limit: HEAP_LIMIT_BYTES }),
    );
    const log: Logger = {
      ...silentLogger,
      error: (fields) => this.overdueJobs.push((fields as { job: string }).job),
    };
    const router = new UserRouter({
      userService: users,
      admission: new Admission(clock, MAX_ACTIVE, () => memory.isScarce),
      unansweredQueries: new UnansweredQueries(clock, log),
      connectivity: new StoreConnectivityMonitor(clock),
      peers: { connected: [] },
      random: this.random,
      steps: new StepMonitor(clock, log),
    });
    this.routers.set(name, router);
    void users.watch();
  }

  protected override settingsFor(name: string): Settings {
    return this.settingsWithPeers(name);
  }

  /** Sends a query to a running controller, as the load balancer does; null: no controller runs. */
  private async poll(id: JobId): Promise<PollResponse | null> {
    const names = this.nodes.filter((node) => this.isRunning(node));
    const name = names[Math.floor(this.random() * names.length)];
    const router = name === undefined ? undefined : this.routers.get(name);
    return router ? router.handle('query', Buffer.from(id), true) : null;
  }
}
