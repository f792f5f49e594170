/** Random scenarios: simulated users with jobs of all kinds, overlapping faults, and checks of the final state. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import type { ScenarioSite } from './scenario-site.js';
import type { JobRequest } from './site-setup.js';
import { AnswerGaps } from './answer-gaps.js';
import { randomPlacementRequest } from './placement-request.js';
import type { Fault, ScenarioUsers } from './faults.js';

/**
 * What becomes of a job: `random` jobs have to run, `backlog` jobs need not, and `pipeline` jobs wait until they are
 * cancelled with the first job of their pipeline.
 */
type JobRole = 'random' | 'backlog' | 'pipeline';

/** Stages of jobs, each of which depends on all jobs of the stage before. */
export interface PipelineShape {
  readonly stageCount: number;
  /** The number of jobs in each stage. */
  readonly jobCount: number;
  /** The stage of which a job is cancelled during the faults. */
  readonly cancelledStage: number;
}

/** A job from the view of the user who submitted the job. */
interface UserJob {
  readonly request: JobRequest;
  /** The last state that the user received; `new` until the job is accepted. */
  state: 'new' | 'accepted' | 'done' | 'cancelled';
  readonly role: JobRole;
  /** Whether the user has sent a request to cancel the job. */
  isCancelling: boolean;
  readonly submittedAt: number;
  /** The time at which the user received the state `done`; null before that. */
  doneAt: number | null;
}

/**
 * The time within which every array must be done and every service must run, counted from the time at which
 * submissions stop after the faults or, for arrays, from the later time at which all dependencies of the job are done.
 * A job may wait 90 s before the tasks start; the rest is for the tasks to run.
 */
const MAX_COMPLETION_S = 170;
/** The shortest interval between two random submissions, without placement jobs. */
const MIN_ARRIVAL_MS = 1500;
/** The maximum random time that is added to `MIN_ARRIVAL_MS` between two submissions. */
const ARRIVAL_SPREAD_MS = 5000;
/** The factor by which submissions are more frequent in scenarios with placement jobs than in other scenarios. */
const PLACEMENT_ARRIVAL_RATE_RATIO = 3;
/** The CPUs of a job that must be rejected: more CPUs than any machine type has. */
const UNSCHEDULABLE_CPU_COUNT = 1000;
/** The interval between the starts of successive faults. */
const FAULT_STAGGER_MS = 1200;
/** The number of services that are submitted before the first fault, apart from random submissions. */
const INITIAL_SERVICE_COUNT = 3;
/** The mean interval at which a user queries each accepted job; each interval varies by up to 10 %. */
const QUERY_INTERVAL_MS = 5000;
/** The interval between the submissions of two services of the backlog. */
const BACKLOG_ARRIVAL_MS = 100;
/** The run time of the job before the first stage of a pipeline, which outlasts every scenario. */
const PIPELINE_GATE_RUN_S = 5000;
/** The time after the start of the first fault at which a user cancels a job of each pipeline. */
const PIPELINE_CANCEL_S = 4;
/** The time after the last fault at which the job before the first stage of each pipeline is cancelled. */
const PIPELINE_END_S = 80;
const PIPELINE_ACCEPTANCE_CHECK_MS = 200;
/** The delay after which a user repeats a submission or cancellation that failed. */
const RETRY_DELAY_MS = 2000;

/** The team of the backlog; a site that runs scenarios with a backlog has it in its settings. */
export const BACKLOG_TEAM = 'backlog';

/** The options of a scenario. Durations are in seconds of the site's clock. */
export interface ScenarioPlan {
  /** Whether the scenario submits random jobs with placement constraints of all kinds. */
  readonly hasPlacementJobs: boolean;
  /** The maximum number of tasks of a job with placement constraints. */
  readonly maxTasks: number;
  /** The time before the first fault. */
  readonly quietBeforeS: number;
  /** The minimum time for which rules are checked after the last fault. */
  readonly minAfterS: number;
  /** The number of services of a team whose limit is too low to run them, about which users query all the same. */
  readonly backlogJobCount: number;
  /** The pipelines that are submitted before the faults; users query all their jobs. */
  readonly pipelines: readonly PipelineShape[];
}

/**
 * The default plan: jobs with at most one kind of placement constraint besides spot, for sites with one machine type.
 */
export const DEFAULT_PLAN: ScenarioPlan = {
  hasPlacementJobs: false,
  maxTasks: 4,
  quietBeforeS: 30,
  minAfterS: MAX_COMPLETION_S,
  backlogJobCount: 0,
  pipelines: [],
};
/** A plan whose jobs combine placement constraints of all kinds, for sites with several machine types and zones. */
export const PLACEMENT_PLAN: ScenarioPlan = { ...DEFAULT_PLAN, hasPlacementJobs: true, maxTasks: 6 };

/** A random scenario on a site. All random choices of the scenario are drawn from the seed. */
export class Scenario<S extends ScenarioSite = ScenarioSite> implements ScenarioUsers {
  cancelsJobsNearEnd = false;
  sendsRepeatedAndInvalidRequests = false;
  private readonly jobs: UserJob[] = [];
  /** The jobs for which the first stages of the pipelines wait. */
  private readonly pipelineGates: UserJob[] = [];
  private readonly answerGaps: AnswerGaps;
  private readonly random: () => number;
  /** Whether the faults are over, so that no new jobs are submitted. */
  private hasStoppedArrivals = false;

  constructor(
    seed: number,
    readonly site: S,
    private readonly plan: ScenarioPlan = DEFAULT_PLAN,
  ) {
    const generator = xoroshiro128plus(seed);
    this.random = () => uniformFloat64(generator);
    this.answerGaps = new AnswerGaps((text) => site.rules.recordViolation(text));
  }

  /** Runs the scenario with `faults` to the end. Violations are recorded in `site.rules`. */
  async run(faults: readonly Fault[]): Promise<void> {
    const { site } = this;
    site.startAll();
    await site.run(1);
    for (let index = 0; index < INITIAL_SERVICE_COUNT; index++) {
      this.submit({ kind: 'service', tasks: 1 + (index % 2), team: 'blue' });
    }
    this.scheduleArrivals();
    this.scheduleBacklog(this.plan.backlogJobCount);
    for (const shape of this.plan.pipelines) void this.runPipeline(shape);
    await site.run(this.plan.quietBeforeS);
    const faultEndsS: number[] = [];
    for (const [index, fault] of faults.entries()) {
      // Faults overlap: each fault starts before the preceding fault ends.
      site.clock.after(index * FAULT_STAGGER_MS, () => {
        site.trace(`fault      ${fault.name}`);
        const endFault = fault.inject(site, this, this.random);
        site.clock.after(fault.durationS * 1000, () => {
          site.trace(`over       ${fault.name}`);
          endFault();
        });
      });
      faultEndsS.push((index * FAULT_STAGGER_MS) / 1000 + fault.durationS);
    }
    await site.run(Math.max(5, ...faultEndsS) + 1);
    // Restarts the controllers that are still down after the last fault.
    for (const name of site.nodes) if (!site.isRunning(name)) site.start(name);
    await site.run(15);
    this.hasStoppedArrivals = true;
    const faultsOverAt = site.clock.now();
    this.answerGaps.start(faultsOverAt);
    this.scheduleAnswerChecks();
    site.clock.after(PIPELINE_END_S * 1000, () => this.cancelPipelineGates());
    await site.run(this.plan.minAfterS);
    const hasTimeLeft = (): boolean =>
      site.clock.now() - faultsOverAt < MAX_COMPLETION_S * 1000 || this.mayStillComplete();
    while (this.describeIncompleteJobs().length > 0 && hasTimeLeft())
      await site.run(QUERY_INTERVAL_MS / 1000);
    for (const text of this.describeIncompleteJobs()) site.rules.recordViolation(text);
    await site.finish();
  }

  private scheduleAnswerChecks(): void {
    this.site.clock.after(QUERY_INTERVAL_MS, () => {
      this.answerGaps.check(this.site.clock.now());
      this.scheduleAnswerChecks();
    });
  }

  private scheduleBacklog(count: number): void {
    if (count === 0) return;
    this.site.clock.after(BACKLOG_ARRIVAL_MS, () => {
      this.submit({ kind: 'service', team: BACKLOG_TEAM }, 'backlog');
      this.scheduleBacklog(count - 1);
    });
  }

  /** Submits a pipeline, each stage once the stage before is accepted, and cancels one of its jobs during the faults. */
  private async runPipeline({ stageCount, jobCount, cancelledStage }: PipelineShape): Promise<void> {
    const { clock } = this.site;
    const cancelAt = clock.now() + (this.plan.quietBeforeS + PIPELINE_CANCEL_S) * 1000;
    const gate = this.submit({ team: 'blue', runS: PIPELINE_GATE_RUN_S }, 'pipeline');
    this.pipelineGates.push(gate);
    let stage = [gate];
    for (let index = 0; index < stageCount; index++) {
      await this.untilAccepted(stage);
      const request = { team: 'blue', runS: 3, awaits: stage.map((job) => job.request.ref) } as const;
      stage = Array.from({ length: jobCount }, () => this.submit(request, 'pipeline'));
      const cancelled = stage[Math.floor(this.random() * jobCount)];
      if (index !== cancelledStage || !cancelled) continue;
      clock.after(Math.max(0, cancelAt - clock.now()), () => void this.cancel(cancelled));
    }
  }

  private async untilAccepted(jobs: readonly UserJob[]): Promise<void> {
    while (jobs.some(({ state }) => state === 'new'))
      await new Promise<void>((resolve) => {
        this.site.clock.after(PIPELINE_ACCEPTANCE_CHECK_MS, resolve);
      });
  }

  private cancelPipelineGates(): void {
    for (const gate of this.pipelineGates) void this.cancel(gate);
  }

  private scheduleArrivals(): void {
    if (this.hasStoppedArrivals) return;
    const rate = this.plan.hasPlacementJobs ? PLACEMENT_ARRIVAL_RATE_RATIO : 1;
    this.site.clock.after((MIN_ARRIVAL_MS + ARRIVAL_SPREAD_MS * this.random()) / rate, () => {
      if (this.hasStoppedArrivals) return;
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
      ...(shape !== 4 && this.random() < 0.35 ? { awaits: this.randomAcceptedArrays() } : {}),
    };
  }

  /** Returns a random subset of the four latest accepted arrays, in any state. */
  private randomAcceptedArrays(): string[] {
    const recent = this.jobs
      .filter(
        ({ state, request, role }) => state !== 'new' && request.kind !== 'service' && role === 'random',
      )
      .slice(-4);
    return recent.filter(() => this.random() < 0.5).map((job) => job.request.ref);
  }

  private randomRunningNode(): string {
    const { nodes } = this.site;
    const running = nodes.filter((node) => this.site.isRunning(node));
    return running[Math.floor(this.random() * running.length)] ?? (nodes[0] as string);
  }

  private submit(request: Omit<JobRequest, 'ref'>, role: JobRole = 'random'): UserJob {
    const ref = `j-${String(this.jobs.length + 1).padStart(6, '0')}`;
    const job: UserJob = {
      request: { ref, ...request },
      state: 'new',
      role,
      isCancelling: false,
      submittedAt: this.site.clock.now(),
      doneAt: null,
    };
    this.jobs.push(job);
    void this.submitUntilAccepted(job);
    return job;
  }

  private async submitUntilAccepted(job: UserJob): Promise<void> {
    const status = await this.site.submitConcurrently(job.request, this.randomRunningNode());
    if (status === 200 || status === 201) {
      job.state = 'accepted';
      this.answerGaps.recordAnswer(job.request.ref, this.site.clock.now());
      this.scheduleQueries(job);
      // A user cancels a service with a probability of 40 %, 10 to 70 s after the service was accepted.
      if (job.request.kind === 'service' && job.role !== 'backlog' && this.random() < 0.4) {
        this.site.clock.after(10_000 + 60_000 * this.random(), () => void this.cancel(job));
      }
    } else if (this.site.clock.now() - job.submittedAt < 60_000) {
      this.site.clock.after(RETRY_DELAY_MS, () => void this.submitUntilAccepted(job));
    }
  }

  private scheduleQueries(job: UserJob): void {
    this.site.clock.after(QUERY_INTERVAL_MS * (0.9 + 0.2 * this.random()), () => {
      if (job.state !== 'accepted') {
        this.answerGaps.forget(job.request.ref);
        return;
      }
      void this.site.queryConcurrently(job.request.ref, this.randomRunningNode()).then((state) => {
        if (state !== null) this.answerGaps.recordAnswer(job.request.ref, this.site.clock.now());
        if (state === 'done' || state === 'cancelled') job.state = state;
        if (state === 'done') job.doneAt ??= this.site.clock.now();
      });
      this.scheduleQueries(job);
      const ageMs = this.site.clock.now() - job.submittedAt;
      const runMs = (job.request.runS ?? 0) * 1000;
      if (this.cancelsJobsNearEnd && job.request.kind !== 'service' && ageMs > runMs && this.random() < 0.4)
        void this.cancel(job);
      if (this.sendsRepeatedAndInvalidRequests) this.sendRepeatedAndInvalidRequests(job);
    });
  }

  private sendRepeatedAndInvalidRequests(job: UserJob): void {
    void this.site.submitConcurrently(job.request, this.randomRunningNode());
    const ended = this.jobs.find((job) => job.state === 'done');
    if (ended) {
      void this.site.cancelConcurrently(ended.request.ref, this.randomRunningNode());
      void this.site.submitConcurrently(ended.request, this.randomRunningNode());
    }
    void this.site.expectRejected(
      { ...job.request, ref: `j-8${job.request.ref.slice(2)}`, cpus: UNSCHEDULABLE_CPU_COUNT },
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
    else this.site.clock.after(RETRY_DELAY_MS, () => void this.cancel(job));
  }

  /** Cancels the latest `count` of the jobs that have running tasks and are not being cancelled. */
  cancelRunningJobs(count: number): void {
    const { site } = this;
    const running = this.jobs.filter(
      (job) => job.state === 'accepted' && !job.isCancelling && site.runningTaskCount(job.request.ref) > 0,
    );
    for (const job of running.slice(-count)) void this.cancel(job);
  }

  /**
   * Returns the time at which the job was submitted and all dependencies were done; null if a dependency is not done.
   */
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
   * Returns whether no accepted, unfinished array became ready `MAX_COMPLETION_S` ago or earlier, and at least one of
   * these arrays is ready (submitted, with all dependencies done). The last jobs of a chain of dependencies may become
   * ready long after the faults, and each array has the same time to complete from then on.
   */
  private mayStillComplete(): boolean {
    const now = this.site.clock.now();
    const incompleteArrays = this.jobs.filter(
      ({ state, request, role }) => state === 'accepted' && request.kind !== 'service' && role === 'random',
    );
    const deadlines = incompleteArrays.map(
      (job) => (this.readyAt(job) ?? Infinity) + MAX_COMPLETION_S * 1000,
    );
    return (
      deadlines.length > 0 && deadlines.every((deadline) => now < deadline) && deadlines.some(Number.isFinite)
    );
  }

  /**
   * Returns descriptions of all jobs in a wrong final state: accepted arrays must be done, all replicas of accepted
   * services must run, no task of a cancelled job may run, and all jobs of a pipeline must be cancelled.
   */
  private describeIncompleteJobs(): string[] {
    const { site } = this;
    const violations: string[] = [];
    for (const { request, state, role } of this.jobs) {
      if (state === 'new' || state === 'done') continue;
      const running = site.runningTaskCount(request.ref);
      const tasks = request.tasks ?? 1;
      if (state === 'cancelled' && running > 0) violations.push(`ran_cancelled: ${request.ref} at the end`);
      if (role === 'backlog') continue;
      if (role === 'pipeline') {
        if (state === 'accepted') violations.push(`waits: ${request.ref} is not cancelled with its pipeline`);
        continue;
      }
      if (state === 'accepted' && request.kind !== 'service')
        violations.push(`waits: ${request.ref} is not done, ${running} of ${tasks} run`);
      if (state === 'accepted' && request.kind === 'service' && running < tasks)
        violations.push(`waits: ${request.ref}, ${running} of ${tasks} replicas run`);
    }
    return violations;
  }

  /** The number of accepted jobs, including jobs that have ended. */
  get acceptedCount(): number {
    return this.jobs.filter((job) => job.state !== 'new').length;
  }

  /** The number of submitted jobs, accepted or not. */
  get submittedCount(): number {
    return this.jobs.length;
  }
}
