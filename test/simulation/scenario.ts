/** Random scenarios: users with jobs of every shape, overlapping faults, and checks of what must hold in the end. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import type { ScenarioSite } from './scenario-site.js';
import type { JobRequest } from './site-setup.js';
import { randomPlacementRequest } from './placement-request.js';
import type { Fault, ScenarioUsers } from './faults.js';

interface UserJob {
  readonly request: JobRequest;
  state: 'new' | 'accepted' | 'done' | 'cancelled';
  isCancelling: boolean;
  readonly submittedAt: number;
  /** When its user was told that it is done; null: not yet. */
  doneAt: number | null;
}

/** Once the faults are over, a job may wait 90 s, and then it runs. */
const MAX_AFTER_S = 170;
const MIN_ARRIVAL_MS = 1500;
const ARRIVAL_SPREAD_MS = 5000;
/** How much more often jobs of all placement kinds are submitted. */
const PLACEMENT_ARRIVAL_FACTOR = 3;
/** More than any machine has. */
const TOO_MANY_CPUS = 1000;
/** Every fault begins this long after the one before. */
const FAULT_STAGGER_MS = 1200;
const INITIAL_SERVICES = 3;
const QUERY_INTERVAL_MS = 5000;
const RETRY_MS = 2000;

/** The options of a scenario. Durations are in seconds of the site's clock. */
export interface ScenarioPlan {
  /** Whether jobs have placement rules of all kinds, with up to `maxTasks` tasks. */
  readonly hasPlacementJobs: boolean;
  readonly maxTasks: number;
  /** Time before the first fault. */
  readonly quietBeforeS: number;
  /** The minimum time for which rules are checked after the faults. */
  readonly minAfterS: number;
}

/** Jobs of every shape, for sites with one machine type. */
const DEFAULT_PLAN: ScenarioPlan = {
  hasPlacementJobs: false,
  maxTasks: 4,
  quietBeforeS: 30,
  minAfterS: MAX_AFTER_S,
};
/** Jobs of every placement kind, for sites with several machine types and zones. */
export const PLACEMENT_PLAN: ScenarioPlan = { ...DEFAULT_PLAN, hasPlacementJobs: true, maxTasks: 6 };

/** One scenario on a site. All that is random is drawn from the seed. */
export class Scenario<S extends ScenarioSite = ScenarioSite> implements ScenarioUsers {
  cancelNearEnd = false;
  sendOddRequests = false;
  private readonly jobs: UserJob[] = [];
  private readonly random: () => number;
  private isOver = false;

  constructor(
    seed: number,
    readonly site: S,
    private readonly plan: ScenarioPlan = DEFAULT_PLAN,
  ) {
    const generator = xoroshiro128plus(seed);
    this.random = () => uniformFloat64(generator);
  }

  /** Runs the scenario to its end. Violations are recorded in the site's rules. */
  async run(faults: readonly Fault[]): Promise<void> {
    const { site } = this;
    site.startAll();
    await site.run(1);
    for (let index = 0; index < INITIAL_SERVICES; index++) {
      this.submit({ kind: 'service', tasks: 1 + (index % 2), team: 'blue' });
    }
    this.scheduleArrivals();
    await site.run(this.plan.quietBeforeS);
    const ends: number[] = [];
    for (const [index, fault] of faults.entries()) {
      // Faults overlap: each begins while the one before lasts.
      site.clock.after(index * FAULT_STAGGER_MS, () => {
        site.trace(`fault      ${fault.name}`);
        const end = fault.inject(site, this, this.random);
        site.clock.after(fault.durationS * 1000, () => {
          site.trace(`over       ${fault.name}`);
          end();
        });
      });
      ends.push((index * FAULT_STAGGER_MS) / 1000 + fault.durationS);
    }
    await site.run(Math.max(5, ...ends) + 1);
    // Controllers that are still down are restarted.
    for (const name of site.nodes) if (!site.isRunning(name)) site.start(name);
    await site.run(15);
    this.isOver = true;
    const overAt = site.clock.now();
    await site.run(this.plan.minAfterS);
    const inTime = (): boolean => site.clock.now() - overAt < MAX_AFTER_S * 1000 || this.mayStillBeServed();
    while (this.unservedJobs().length > 0 && inTime()) await site.run(QUERY_INTERVAL_MS / 1000);
    for (const text of this.unservedJobs()) site.rules.recordViolation(text);
    await site.finish();
  }

  private scheduleArrivals(): void {
    if (this.isOver) return;
    const rate = this.plan.hasPlacementJobs ? PLACEMENT_ARRIVAL_FACTOR : 1;
    this.site.clock.after((MIN_ARRIVAL_MS + ARRIVAL_SPREAD_MS * this.random()) / rate, () => {
      if (this.isOver) return;
      this.submit(
        this.plan.hasPlacementJobs
          ? randomPlacementRequest(this.random, this.plan.maxTasks)
          : this.randomRequest(),
      );
      this.scheduleArrivals();
    });
  }

  private randomRequest(): Omit<JobRequest, 'ref'> {
    const shape = Math.floor(this.random() * 5);
    const tasks = 1 + Math.floor(this.random() * 4);
    return {
      tasks,
      team: this.random() < 0.5 ? 'red' : 'blue',
      spot: this.random() < 0.6,
      runS: 3 + 25 * this.random(),
      samePlace: shape === 1,
      apart: shape === 2,
      ...(shape === 3 ? { zone: 'north' } : {}),
      ...(shape === 4 ? { kind: 'service' as const, tasks: 1, spot: false } : {}),
      ...(shape !== 4 && this.random() < 0.35 ? { awaits: this.someAcceptedArrays() } : {}),
    };
  }

  /** Returns some of the latest arrays that were accepted, whatever their state is. */
  private someAcceptedArrays(): string[] {
    const recent = this.jobs.filter((job) => job.state !== 'new' && job.request.kind !== 'service').slice(-4);
    return recent.filter(() => this.random() < 0.5).map((job) => job.request.ref);
  }

  private randomRunningNode(): string {
    const { nodes } = this.site;
    const running = nodes.filter((node) => this.site.isRunning(node));
    return running[Math.floor(this.random() * running.length)] ?? (nodes[0] as string);
  }

  private submit(request: Omit<JobRequest, 'ref'>): void {
    const ref = `j-${String(this.jobs.length + 1).padStart(6, '0')}`;
    const job: UserJob = {
      request: { ref, ...request },
      state: 'new',
      isCancelling: false,
      submittedAt: this.site.clock.now(),
      doneAt: null,
    };
    this.jobs.push(job);
    void this.submitUntilAccepted(job);
  }

  private async submitUntilAccepted(job: UserJob): Promise<void> {
    const status = await this.site.submitConcurrently(job.request, this.randomRunningNode());
    if (status === 200 || status === 201) {
      job.state = 'accepted';
      this.scheduleQueries(job);
      // Some services are cancelled later.
      if (job.request.kind === 'service' && this.random() < 0.4) {
        this.site.clock.after(10_000 + 60_000 * this.random(), () => void this.cancel(job));
      }
    } else if (this.site.clock.now() - job.submittedAt < 60_000) {
      this.site.clock.after(RETRY_MS, () => void this.submitUntilAccepted(job));
    }
  }

  private scheduleQueries(job: UserJob): void {
    this.site.clock.after(QUERY_INTERVAL_MS * (0.9 + 0.2 * this.random()), () => {
      if (job.state !== 'accepted') return;
      void this.site.queryConcurrently(job.request.ref, this.randomRunningNode()).then((state) => {
        if (state === 'done' || state === 'cancelled') job.state = state;
        if (state === 'done') job.doneAt ??= this.site.clock.now();
      });
      this.scheduleQueries(job);
      const ageMs = this.site.clock.now() - job.submittedAt;
      const runMs = (job.request.runS ?? 0) * 1000;
      if (this.cancelNearEnd && job.request.kind !== 'service' && ageMs > runMs && this.random() < 0.4)
        void this.cancel(job);
      if (this.sendOddRequests) this.makeOddRequests(job);
    });
  }

  private makeOddRequests(job: UserJob): void {
    void this.site.submitConcurrently(job.request, this.randomRunningNode());
    const ended = this.jobs.find((job) => job.state === 'done');
    if (ended) {
      void this.site.cancelConcurrently(ended.request.ref, this.randomRunningNode());
      void this.site.submitConcurrently(ended.request, this.randomRunningNode());
    }
    void this.site.expectRejected(
      { ...job.request, ref: `j-8${job.request.ref.slice(2)}`, cpus: TOO_MANY_CPUS },
      this.randomRunningNode(),
    );
    void this.site.expectRejected(
      { ...job.request, ref: `j-9${job.request.ref.slice(2)}` },
      this.randomRunningNode(),
      'memoryGb',
    );
    void this.site.queryConcurrently(`j-7${job.request.ref.slice(2)}`, this.randomRunningNode());
  }

  private async cancel(job: UserJob): Promise<void> {
    job.isCancelling = true;
    const state = await this.site.cancelConcurrently(job.request.ref, this.randomRunningNode());
    if (state === 'cancelled' || state === 'done') job.state = state;
    else this.site.clock.after(RETRY_MS, () => void this.cancel(job));
  }

  /** Cancels up to `count` of the running jobs, the latest ones. */
  cancelSome(count: number): void {
    const { site } = this;
    const running = this.jobs.filter(
      (job) => job.state === 'accepted' && !job.isCancelling && site.runningTaskCount(job.request.ref) > 0,
    );
    for (const job of running.slice(-count)) void this.cancel(job);
  }

  /** Returns when all dependencies of the job were done; null: one is not. */
  private readyAt({ submittedAt, request }: UserJob): number | null {
    let ready = submittedAt;
    for (const ref of request.awaits ?? []) {
      const doneAt = this.jobs.find((job) => job.request.ref === ref)?.doneAt ?? null;
      if (doneAt === null) return null;
      ready = Math.max(ready, doneAt);
    }
    return ready;
  }

  /**
   * The last jobs of a chain of dependencies may become ready long after the faults: each has the same time from then
   * on, and none may exceed it.
   */
  private mayStillBeServed(): boolean {
    const now = this.site.clock.now();
    const waiting = this.jobs.filter(
      ({ state, request }) => state === 'accepted' && request.kind !== 'service',
    );
    const limits = waiting.map((job) => (this.readyAt(job) ?? Infinity) + MAX_AFTER_S * 1000);
    return limits.length > 0 && limits.every((limit) => now < limit) && limits.some(Number.isFinite);
  }

  /** Describes the jobs that are not served: long after the faults arrays must be done, and services must run. */
  private unservedJobs(): string[] {
    const { site } = this;
    const texts: string[] = [];
    for (const { request, state } of this.jobs) {
      if (state === 'new' || state === 'done') continue;
      const running = site.runningTaskCount(request.ref);
      const tasks = request.tasks ?? 1;
      if (state === 'cancelled' && running > 0) texts.push(`ran_cancelled: ${request.ref} at the end`);
      if (state === 'accepted' && request.kind !== 'service')
        texts.push(`waits: ${request.ref} is not done, ${running} of ${tasks} run`);
      if (state === 'accepted' && request.kind === 'service' && running < tasks)
        texts.push(`waits: ${request.ref}, ${running} of ${tasks} replicas run`);
    }
    return texts;
  }

  /** The number of jobs that were accepted. */
  get acceptedCount(): number {
    return this.jobs.filter((job) => job.state !== 'new').length;
  }

  /** The number of jobs that were submitted. */
  get submittedCount(): number {
    return this.jobs.length;
  }
}
