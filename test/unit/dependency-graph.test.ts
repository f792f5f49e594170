import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { JobId, Revision } from '../../src/model/ids.js';
import { Priority } from '../../src/model/job.js';
import type { WallTime } from '../../src/model/time.js';
import { ActiveJob } from '../../src/scheduler/active-job.js';
import { DependencyGraph } from '../../src/scheduler/dependency-graph.js';
import type { InheritedPriority } from '../../src/scheduler/job-priority.js';
import { submission } from '../simulation/submission.js';

const DEFAULT_DURATION_MS = 40_000;
/** The deadline of the last job of a pipeline. */
const DEADLINE_S = 900;
/**
 * How often one change may visit an edge: as it is added or removed, in the search for dependents, as a value is passed
 * on, and as the values of dependents are merged.
 */
const MAX_VISITS_PER_EDGE = 4;
const TEST_TIMEOUT_MS = 60_000;

interface JobOptions {
  readonly dependencies?: readonly ActiveJob[];
  readonly rank?: string;
  readonly dueS?: number | undefined;
  readonly durationMs?: number;
}

/** A graph of jobs that are accepted one after another, as a leader holds it. */
class GraphUnderTest {
  readonly jobs = new Map<JobId, ActiveJob>();
  readonly durationsMs = new Map<ActiveJob, number>();
  graph: DependencyGraph;
  private jobCount = 0;
  private edgeCount = 0;
  /** The jobs that the graph has looked up in the current change; null: no change is being counted. */
  private lookups: number | null = null;

  constructor() {
    this.graph = this.createGraph();
  }

  private createGraph(): DependencyGraph {
    const get = (id: JobId): ActiveJob | undefined => {
      // A change that costs too much fails at once, since it might never end.
      if (this.lookups !== null && ++this.lookups > this.maxVisits) throw new Error('too many visits');
      return this.jobs.get(id);
    };
    return new DependencyGraph({ get }, (job) => this.durationsMs.get(job) ?? DEFAULT_DURATION_MS);
  }

  /** The visits that a change may cost: one for each job and a few for each edge. */
  private get maxVisits(): number {
    return this.jobCount + MAX_VISITS_PER_EDGE * this.edgeCount;
  }

  /** Creates an accepted job without adding it to the graph. */
  create({ dependencies = [], rank = 'idle', dueS, durationMs }: JobOptions): ActiveJob {
    this.jobCount++;
    const ref = `j-${String(this.jobCount).padStart(6, '0')}`;
    const spec = submission({ ref, rank, shards: 1, ...(dueS === undefined ? {} : { dueS }) });
    const job = new ActiveJob(spec, this.jobCount as Revision, 0 as WallTime);
    if (durationMs !== undefined) this.durationsMs.set(job, durationMs);
    this.jobs.set(job.spec.id, job);
    this.addDependencies(job, dependencies);
    return job;
  }

  addDependencies(job: ActiveJob, dependencies: readonly ActiveJob[]): void {
    for (const { spec } of dependencies) job.dependencies.unmet.add(spec.id);
    this.edgeCount += dependencies.length;
  }

  accept(options: JobOptions): ActiveJob {
    const job = this.create(options);
    this.graph.add([job]);
    return job;
  }

  /** Makes one change, and checks that its visits of jobs and edges are in proportion to the graph. */
  expectBoundedVisits(change: () => void): void {
    const graph = this.graph;
    const before = graph.visitCount;
    this.lookups = 0;
    change();
    const visits = this.graph === graph ? graph.visitCount - before : this.graph.visitCount;
    expect(visits).toBeLessThanOrEqual(this.maxVisits);
    expect(this.lookups).toBeLessThanOrEqual(visits);
    this.lookups = null;
  }

  cancel(job: ActiveJob): void {
    const cancelled = [...this.graph.dependentsOf([job.spec.id]), job];
    this.graph.remove(cancelled);
    for (const { spec } of cancelled) this.jobs.delete(spec.id);
  }

  /** Forgets all inherited values and adds all jobs at once in the given order, as a new leader does. */
  reload(order: (jobs: ActiveJob[]) => ActiveJob[]): void {
    const jobs = [...this.jobs.values()].map((old) => {
      const job = new ActiveJob(old.spec, old.revision, old.acceptedAt);
      for (const id of old.dependencies.unmet) job.dependencies.unmet.add(id);
      const durationMs = this.durationsMs.get(old);
      if (durationMs !== undefined) this.durationsMs.set(job, durationMs);
      return job;
    });
    this.jobs.clear();
    for (const job of jobs) this.jobs.set(job.spec.id, job);
    this.graph = this.createGraph();
    this.graph.add(order(jobs));
  }

  /** Computes what each job inherits anew: the strictest of its own value and those of all that depend on it. */
  expectedValues(): Map<JobId, InheritedPriority> {
    const values = new Map<JobId, InheritedPriority>();
    const newestFirst = [...this.jobs.values()].sort((left, right) => right.revision - left.revision);
    for (const { spec, ownDeadline } of newestFirst)
      values.set(spec.id, { priority: spec.priority, latestEnd: ownDeadline });
    for (const job of newestFirst) {
      const { priority, latestEnd } = values.get(job.spec.id) as InheritedPriority;
      const durationMs = this.durationsMs.get(job) ?? DEFAULT_DURATION_MS;
      for (const id of job.dependencies.unmet) {
        const value = values.get(id);
        if (!value) continue;
        const ends = [value.latestEnd, latestEnd === null ? null : latestEnd - durationMs];
        const limits = ends.filter((end) => end !== null);
        values.set(id, {
          priority: Math.max(value.priority, priority),
          latestEnd: limits.length === 0 ? null : (Math.min(...limits) as WallTime),
        });
      }
    }
    return values;
  }

  expectExactValues(): void {
    const expected = this.expectedValues();
    const actual = [...this.jobs].map(([id, job]) => [id, job.inheritedPriority] as const);
    const isExact = actual.every(([id, { priority, latestEnd }]) => {
      const value = expected.get(id);
      return value?.priority === priority && value.latestEnd === latestEnd;
    });
    // The comparison of thousands of values by `toEqual` takes seconds, so it only describes a difference.
    if (!isExact) expect(new Map(actual)).toEqual(expected);
  }
}

/** Accepts stages of jobs, each of which depends on all jobs of the stage before; returns the stages. */
function acceptStages(site: GraphUnderTest, stageCount: number, jobCount: number): ActiveJob[][] {
  const stages: ActiveJob[][] = [];
  for (let stage = 0; stage < stageCount; stage++) {
    const dependencies = stages.at(-1) ?? [];
    const jobs: ActiveJob[] = [];
    for (let index = 0; index < jobCount; index++)
      site.expectBoundedVisits(() => jobs.push(site.accept({ dependencies })));
    stages.push(jobs);
  }
  return stages;
}

/** The shapes of the review and of the users' measurements: numbers of stages, and of jobs in a stage. */
const SHAPES = [
  [12, 6],
  [30, 20],
  [5, 200],
  [20_000, 1],
] as const;

describe.each(SHAPES)(
  'a pipeline of %d stages of %d jobs',
  { timeout: TEST_TIMEOUT_MS },
  (stageCount, jobCount) => {
    function pipeline(): { site: GraphUnderTest; stages: ActiveJob[][]; last: ActiveJob } {
      const site = new GraphUnderTest();
      const stages = acceptStages(site, stageCount, jobCount);
      let last: ActiveJob | null = null;
      site.expectBoundedVisits(() => {
        last = site.accept({ dependencies: stages.at(-1) ?? [], rank: 'urgent', dueS: DEADLINE_S });
      });
      return { site, stages, last: last as unknown as ActiveJob };
    }

    // Guards against a walk over all paths, which hung every leader after the cancellation of a pipeline's last job, and
    // against a recursion as deep as the graph.
    it('costs visits in proportion to its jobs and edges when its last job is added and cancelled', () => {
      const { site, stages, last } = pipeline();
      const first = stages[0]?.[0] as ActiveJob;
      expect(first.inheritedPriority.priority).toBe(Priority.High);
      site.expectBoundedVisits(() => site.cancel(last));
      expect(first.inheritedPriority).toEqual({ priority: Priority.Low, latestEnd: null });
      site.expectExactValues();
    });

    // Guards against one recomputation for each dependent that is cancelled with a job.
    it('costs visits in proportion to its jobs and edges when a job in the middle is cancelled with all after it', () => {
      const { site, stages } = pipeline();
      const middle = stages[Math.floor(stageCount / 2)]?.[0] as ActiveJob;
      site.expectBoundedVisits(() => site.cancel(middle));
      expect(stages[0]?.[0]?.inheritedPriority).toEqual({ priority: Priority.Low, latestEnd: null });
      site.expectExactValues();
    });

    // Guards against a takeover whose cost depends on the order in which the records are read.
    it.each(['oldest first', 'newest first'])(
      'costs visits in proportion when a new leader loads it %s',
      (order) => {
        const { site } = pipeline();
        site.expectBoundedVisits(() =>
          site.reload((jobs) => (order === 'oldest first' ? jobs : jobs.reverse())),
        );
        site.expectExactValues();
      },
    );
  },
);

describe('DependencyGraph', { timeout: TEST_TIMEOUT_MS }, () => {
  // Guards against following each improvement depth first: with durations that double, each stage doubled the cost.
  it('costs visits in proportion to its edges if the paths through 20 stages have unlike durations', () => {
    const site = new GraphUnderTest();
    const firstMs = 1000;
    let end = site.accept({});
    for (let stage = 0; stage < 20; stage++) {
      const slow = site.accept({ dependencies: [end], durationMs: firstMs * 2 ** stage });
      const fast = site.accept({ dependencies: [end], durationMs: 1 });
      end = site.accept({ dependencies: [fast, slow], durationMs: 1 });
    }
    const last = site.create({ dependencies: [end], dueS: DEADLINE_S });
    site.expectBoundedVisits(() => site.graph.add([last]));
    site.expectExactValues();
    site.expectBoundedVisits(() => site.cancel(last));
    site.expectExactValues();
  });

  // Guards against a loop without end after damage to stored records: submissions cannot make a cycle.
  it('ends if damaged records make a cycle', () => {
    const site = new GraphUnderTest();
    const first = site.create({ dueS: DEADLINE_S });
    const second = site.create({ dependencies: [first], rank: 'urgent' });
    site.addDependencies(first, [second]);
    site.expectBoundedVisits(() => site.graph.add([first, second]));
    expect(first.inheritedPriority.priority).toBe(Priority.High);
    site.expectBoundedVisits(() => site.graph.remove([second]));
    expect(first.inheritedPriority.priority).toBe(Priority.Low);
  });

  // Guards against inherited values that a change leaves outdated.
  it('keeps every inherited value equal to one computed anew, after each of many random changes', () => {
    const newJob = fc.record({
      kind: fc.constant('accept' as const),
      dependencies: fc.array(fc.nat(), { maxLength: 5 }),
      lateDependencies: fc.array(fc.nat(), { maxLength: 2 }),
      rank: fc.constantFrom('idle', 'standard', 'urgent'),
      dueS: fc.option(fc.integer({ min: 1, max: 300 }), { nil: undefined }),
      durationMs: fc.integer({ min: 1, max: 100_000 }),
    });
    const removal = fc.record({
      kind: fc.constantFrom('cancel' as const, 'complete' as const),
      at: fc.nat(),
    });
    const takeover = fc.record({ kind: fc.constant('reload' as const), seed: fc.nat() });
    const change = fc.oneof(
      { arbitrary: newJob, weight: 6 },
      { arbitrary: removal, weight: 2 },
      { arbitrary: takeover, weight: 1 },
    );
    const isFree = ({ dependencies }: ActiveJob): boolean => dependencies.unmet.size === 0;
    fc.assert(
      fc.property(fc.array(change, { maxLength: 60 }), (changes) => {
        const site = new GraphUnderTest();
        const at = (jobs: ActiveJob[], index: number): ActiveJob[] =>
          jobs.length === 0 ? [] : [jobs[index % jobs.length] as ActiveJob];
        for (const step of changes) {
          const jobs = [...site.jobs.values()];
          if (step.kind === 'accept') {
            const pick = (indexes: readonly number[]): ActiveJob[] => [
              ...new Set(indexes.flatMap((index) => at(jobs, index))),
            ];
            const job = site.create({ ...step, dependencies: pick(step.dependencies) });
            site.expectBoundedVisits(() => site.graph.add([job]));
            site.addDependencies(job, pick(step.lateDependencies));
            site.expectBoundedVisits(() => site.graph.add([job]));
          } else if (step.kind === 'reload') {
            site.reload((loaded) => shuffle(loaded, step.seed));
          } else {
            for (const job of at(step.kind === 'cancel' ? jobs : jobs.filter(isFree), step.at)) {
              if (step.kind === 'cancel') site.expectBoundedVisits(() => site.cancel(job));
              else site.expectBoundedVisits(() => site.graph.complete(job.spec.id));
              site.jobs.delete(job.spec.id);
            }
          }
          site.expectExactValues();
        }
      }),
      { numRuns: 300, seed: 48 },
    );
  });
});

function shuffle(jobs: ActiveJob[], seed: number): ActiveJob[] {
  return jobs
    .map((job, index) => ({ job, key: ((index + 1) * (seed + 7919)) % 10_007 }))
    .sort((left, right) => left.key - right.key)
    .map(({ job }) => job);
}
