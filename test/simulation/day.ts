import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import type { DaySite } from './day-site.js';
import type { JobWish } from './site-setup.js';
import { placementWish } from './placement-request.js';
import type { Trouble, Users } from './faults.js';

interface UserJob {
  readonly wish: JobWish;
  state: 'new' | 'accepted' | 'done' | 'cancelled';
  cancelling: boolean;
  readonly at: number;
  /** When its user was told that it is done. */
  doneAt: number | null;
}

/** A job may wait 90 s once the troubles are over, and then it runs. */
const AFTER_S = 170;
const ARRIVAL_LEAST_MS = 1500;
const ARRIVAL_SPREAD_MS = 5000;
/** How much faster jobs of all placement kinds come. */
const PLACEMENT_RUSH = 3;
/** More than any machine has. */
const TOO_MANY_CPUS = 1000;
const POLL_MS = 5000;
const AGAIN_MS = 2000;

/** How a day goes. */
export interface DayPlan {
  /** Jobs of all placement kinds, of up to so many tasks. */
  readonly placement: boolean;
  readonly mostTasks: number;
  /** Before the troubles begin. */
  readonly quietS: number;
  /** How long rules are watched after the troubles, even if all is served. */
  readonly afterLeastS: number;
}

/** Jobs of every shape on a site of one machine type. */
const PLAIN_DAY: DayPlan = { placement: false, mostTasks: 4, quietS: 30, afterLeastS: AFTER_S };
/** Jobs of every placement kind: for sites with several types and zones. */
export const PLACEMENT_DAY: DayPlan = { ...PLAIN_DAY, placement: true, mostTasks: 6 };

/** One day of users on the stand-ins: jobs of every shape, troubles that overlap, and what must hold in the end. */
export class Day<S extends DaySite = DaySite> implements Users {
  cancelAtEnd = false;
  odd = false;
  private readonly jobs: UserJob[] = [];
  private readonly random: () => number;
  private over = false;

  constructor(
    seed: number,
    readonly site: S,
    private readonly plan: DayPlan = PLAIN_DAY,
  ) {
    const generator = xoroshiro128plus(seed);
    this.random = () => uniformFloat64(generator);
  }

  async play(troubles: readonly Trouble[]): Promise<void> {
    const { site } = this;
    site.startAll();
    await site.run(1);
    for (let i = 0; i < 3; i++) this.submit({ kind: 'service', tasks: 1 + (i % 2), team: 'blue' });
    this.arrivals();
    await site.run(this.plan.quietS);
    const ends: number[] = [];
    for (const [i, trouble] of troubles.entries()) {
      // They overlap: each begins within the one before.
      site.clock.after(i * 1200, () => {
        site.trace(`trouble    ${trouble.name}`);
        const end = trouble.begin(site, this, this.random);
        site.clock.after(trouble.forS * 1000, () => {
          site.trace(`over       ${trouble.name}`);
          end();
        });
      });
      ends.push(i * 1.2 + trouble.forS);
    }
    await site.run(Math.max(5, ...ends) + 1);
    // Whoever is down by then comes back.
    for (const name of site.nodes) if (!site.isRunning(name)) site.start(name);
    await site.run(15);
    this.over = true;
    const overAt = site.clock.now();
    await site.run(this.plan.afterLeastS);
    const inTime = (): boolean => site.clock.now() - overAt < AFTER_S * 1000 || this.mayStillBeServed();
    while (this.unserved().length > 0 && inTime()) await site.run(POLL_MS / 1000);
    for (const text of this.unserved()) site.rules.breach(text);
    await site.finish();
  }

  private arrivals(): void {
    if (this.over) return;
    const rush = this.plan.placement ? PLACEMENT_RUSH : 1;
    this.site.clock.after((ARRIVAL_LEAST_MS + ARRIVAL_SPREAD_MS * this.random()) / rush, () => {
      if (this.over) return;
      this.submit(this.plan.placement ? placementWish(this.random, this.plan.mostTasks) : this.plainWish());
      this.arrivals();
    });
  }

  private plainWish(): Omit<JobWish, 'ref'> {
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
      ...(shape !== 4 && this.random() < 0.35 ? { awaits: this.someAccepted() } : {}),
    };
  }

  /** Arrays that were accepted, the latest ones, whatever became of them. */
  private someAccepted(): string[] {
    const known = this.jobs.filter((j) => j.state !== 'new' && j.wish.kind !== 'service').slice(-4);
    return known.filter(() => this.random() < 0.5).map((j) => j.wish.ref);
  }

  private node(): string {
    const { nodes } = this.site;
    const up = nodes.filter((n) => this.site.isRunning(n));
    return up[Math.floor(this.random() * up.length)] ?? (nodes[0] as string);
  }

  private submit(wish: Omit<JobWish, 'ref'>): void {
    const ref = `j-${String(this.jobs.length + 1).padStart(6, '0')}`;
    const job: UserJob = {
      wish: { ref, ...wish },
      state: 'new',
      cancelling: false,
      at: this.site.clock.now(),
      doneAt: null,
    };
    this.jobs.push(job);
    void this.keepSubmitting(job);
  }

  private async keepSubmitting(job: UserJob): Promise<void> {
    const status = await this.site.post(job.wish, this.node());
    if (status === 200 || status === 201) {
      job.state = 'accepted';
      this.keepAsking(job);
      // Replicas are called off sooner or later.
      if (job.wish.kind === 'service' && this.random() < 0.4) {
        this.site.clock.after(10_000 + 60_000 * this.random(), () => void this.cancel(job));
      }
    } else if (this.site.clock.now() - job.at < 60_000) {
      this.site.clock.after(AGAIN_MS, () => void this.keepSubmitting(job));
    }
  }

  private keepAsking(job: UserJob): void {
    this.site.clock.after(POLL_MS * (0.9 + 0.2 * this.random()), () => {
      if (job.state !== 'accepted') return;
      void this.site.poll(job.wish.ref, this.node()).then((state) => {
        if (state === 'done' || state === 'cancelled') job.state = state;
        if (state === 'done') job.doneAt ??= this.site.clock.now();
      });
      this.keepAsking(job);
      const lasted = this.site.clock.now() - job.at;
      const runMs = (job.wish.runS ?? 0) * 1000;
      if (this.cancelAtEnd && job.wish.kind !== 'service' && lasted > runMs && this.random() < 0.4)
        void this.cancel(job);
      if (this.odd) this.askOddly(job);
    });
  }

  private askOddly(job: UserJob): void {
    void this.site.post(job.wish, this.node());
    const ended = this.jobs.find((j) => j.state === 'done');
    if (ended) {
      void this.site.postCancel(ended.wish.ref, this.node());
      void this.site.post(ended.wish, this.node());
    }
    void this.site.refused(
      { ...job.wish, ref: `j-8${job.wish.ref.slice(2)}`, cpus: TOO_MANY_CPUS },
      this.node(),
    );
    void this.site.refused({ ...job.wish, ref: `j-9${job.wish.ref.slice(2)}` }, this.node(), 'memoryGb');
    void this.site.poll(`j-7${job.wish.ref.slice(2)}`, this.node());
  }

  private async cancel(job: UserJob): Promise<void> {
    job.cancelling = true;
    const state = await this.site.postCancel(job.wish.ref, this.node());
    if (state === 'cancelled' || state === 'done') job.state = state;
    else this.site.clock.after(AGAIN_MS, () => void this.cancel(job));
  }

  cancelSome(count: number): void {
    const { site } = this;
    const running = this.jobs.filter(
      (j) => j.state === 'accepted' && !j.cancelling && site.tasksOn(j.wish.ref) > 0,
    );
    for (const job of running.slice(-count)) void this.cancel(job);
  }

  /** From when all that it waited for was done; null: something is not. */
  private readyAt({ at, wish }: UserJob): number | null {
    let ready = at;
    for (const ref of wish.awaits ?? []) {
      const doneAt = this.jobs.find((job) => job.wish.ref === ref)?.doneAt ?? null;
      if (doneAt === null) return null;
      ready = Math.max(ready, doneAt);
    }
    return ready;
  }

  /**
   * The last jobs of a chain may become ready long after the troubles: each has the same time from then on. None may
   * be late itself.
   */
  private mayStillBeServed(): boolean {
    const now = this.site.clock.now();
    const waiting = this.jobs.filter(({ state, wish }) => state === 'accepted' && wish.kind !== 'service');
    const limits = waiting.map((job) => (this.readyAt(job) ?? Infinity) + AFTER_S * 1000);
    return limits.length > 0 && limits.every((limit) => now < limit) && limits.some(Number.isFinite);
  }

  /** Long after the troubles nothing waits: arrays are done, replicas run, cancelled jobs have no task. */
  private unserved(): string[] {
    const { site } = this;
    const texts: string[] = [];
    for (const { wish, state } of this.jobs) {
      if (state === 'new' || state === 'done') continue;
      const on = site.tasksOn(wish.ref);
      const tasks = wish.tasks ?? 1;
      if (state === 'cancelled' && on > 0) texts.push(`ran_cancelled: ${wish.ref} at the end`);
      if (state === 'accepted' && wish.kind !== 'service')
        texts.push(`waits: ${wish.ref} is not done, ${on} of ${tasks} run`);
      if (state === 'accepted' && wish.kind === 'service' && on < tasks)
        texts.push(`waits: ${wish.ref}, ${on} of ${tasks} replicas run`);
    }
    return texts;
  }

  get accepted(): number {
    return this.jobs.filter((j) => j.state !== 'new').length;
  }

  get submitted(): number {
    return this.jobs.length;
  }
}
