import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { DependencyIndex } from '../../src/api/dependency-index.js';
import { maxDependencyCount } from '../../src/api/dependency-limit.js';
import type { JobId, Revision } from '../../src/model/ids.js';
import type { FinalState, JobRecord } from '../../src/model/job.js';
import type { WallTime } from '../../src/model/time.js';
import { submission } from '../simulation/submission.js';

const TEST_TIMEOUT_MS = 60_000;
/**
 * How often an edge may be visited in the life of its job: as it is added and removed, as a cancellation passes, and in
 * each of the two searches for what depends on unresolved jobs.
 */
const MAX_VISITS_PER_EDGE = 5;

const jobId = (n: number): JobId => `j-${String(n).padStart(6, '0')}` as JobId;

function recordOf(id: JobId, dependencies: readonly JobId[]): JobRecord {
  const spec = submission({ ref: id, shards: 1, awaits: dependencies });
  return { spec, state: 'accepted', acceptedAt: 0 as WallTime };
}

/** An index, the states that the store holds, and a plain reference that follows every path. */
class IndexUnderTest {
  readonly states = new Map<JobId, 'accepted' | FinalState>();
  readonly dependencies = new Map<JobId, readonly JobId[]>();
  edgeCount = 0;
  index = this.createIndex();

  /** An index without any knowledge of jobs that have ended, like that of a controller that has just started. */
  private createIndex(): DependencyIndex {
    return new DependencyIndex(() => undefined);
  }

  accept(dependencies: readonly JobId[]): JobId {
    const id = jobId(this.states.size + 1);
    this.states.set(id, 'accepted');
    this.dependencies.set(id, dependencies);
    this.edgeCount += dependencies.length;
    this.add(id, true);
    return id;
  }

  private add(id: JobId, isConfirmed: boolean): void {
    const record = recordOf(id, this.dependencies.get(id) ?? []);
    this.index.addAccepted(record, Number(id.slice(2)) as Revision, isConfirmed);
  }

  end(id: JobId, state: FinalState): void {
    this.states.set(id, state);
    this.index.applyEnded(id, state);
  }

  /** Loads the given jobs in the given order, as after a restart: a head record may be left of a job that has ended. */
  reload(ids: readonly JobId[]): void {
    this.index = this.createIndex();
    for (const id of ids) this.add(id, false);
  }

  /** Reads what the index asks for, in turns of one job, until nothing is unresolved. */
  resolveAll(): void {
    while (this.index.unresolvedCount > 0) {
      const [unconfirmed] = this.index.jobsToConfirm(1);
      if (unconfirmed)
        this.index.recordComparison(unconfirmed, this.states.get(unconfirmed.id) === 'accepted');
      const [unread] = this.index.jobsToRead(1);
      if (!unread) continue;
      const state = this.states.get(unread.id);
      if (state === 'done' || state === 'cancelled') this.index.applyEnded(unread.id, state);
      else
        this.index.addAccepted(
          recordOf(unread.id, this.dependencies.get(unread.id) ?? []),
          1 as Revision,
          true,
        );
    }
  }

  isCancelled(id: JobId): boolean {
    const state = this.states.get(id);
    if (state !== 'accepted') return state === 'cancelled';
    return (this.dependencies.get(id) ?? []).some((dependency) => this.isCancelled(dependency));
  }

  /** Checks each job that is still open: the index never takes a job for clear that a cancellation has reached. */
  expectSafe(): void {
    for (const [id, state] of this.states) {
      if (state !== 'accepted') continue;
      const verdict = this.index.judge(id);
      if (verdict !== 'unresolved')
        expect([id, verdict]).toEqual([id, this.isCancelled(id) ? 'cancelled' : 'clear']);
    }
  }

  expectResolved(): void {
    this.resolveAll();
    for (const [id, state] of this.states) {
      if (state === 'accepted')
        expect([id, this.index.judge(id)]).toEqual([id, this.isCancelled(id) ? 'cancelled' : 'clear']);
    }
  }
}

describe('DependencyIndex', { timeout: TEST_TIMEOUT_MS }, () => {
  // Guards against a job that is called pending after a job on which it depends was cancelled.
  it('finds every cancelled dependency, after each of many random changes and restarts', () => {
    const accept = fc.record({
      kind: fc.constant('accept' as const),
      at: fc.array(fc.nat(), { maxLength: 4 }),
    });
    const end = fc.record({ kind: fc.constantFrom('done' as const, 'cancelled' as const), at: fc.nat() });
    const restart = fc.record({ kind: fc.constant('restart' as const), at: fc.nat() });
    const change = fc.oneof(
      { arbitrary: accept, weight: 5 },
      { arbitrary: end, weight: 3 },
      { arbitrary: restart, weight: 1 },
    );
    fc.assert(
      fc.property(fc.array(change, { maxLength: 40 }), (changes) => {
        const site = new IndexUnderTest();
        const ids = (): JobId[] => [...site.states.keys()];
        const isOpen = (id: JobId): boolean => site.states.get(id) === 'accepted';
        const mayBeDone = (id: JobId): boolean =>
          (site.dependencies.get(id) ?? []).every((dependency) => site.states.get(dependency) === 'done');
        for (const step of changes) {
          if (step.kind === 'accept') {
            const named = step.at.flatMap((index) => ids()[index % Math.max(1, ids().length)] ?? []);
            site.accept([...new Set(named)]);
          } else if (step.kind === 'restart') {
            // Some jobs that have ended still have a head record, as long as the leader has not deleted it.
            const loaded = ids().filter((id, index) => isOpen(id) || (step.at + index) % 3 === 0);
            site.reload(step.at % 2 === 0 ? loaded : loaded.reverse());
          } else {
            const open = ids().filter((id) => isOpen(id) && (step.kind === 'cancelled' || mayBeDone(id)));
            const id = open[step.at % Math.max(1, open.length)];
            if (id) site.end(id, step.kind);
          }
          site.expectSafe();
        }
        site.expectResolved();
      }),
      { numRuns: 300, seed: 48 },
    );
  });

  // Guards against a query that follows the graph, by paths or by edges, and against a recursion.
  it.each([
    [12, 6],
    [30, 20],
    [5, 200],
    [20_000, 1],
  ])('visits each edge a few times in all: %d stages of %d jobs', (stageCount, jobCount) => {
    const site = new IndexUnderTest();
    const stages: JobId[][] = [];
    for (let stage = 0; stage < stageCount; stage++)
      stages.push(Array.from({ length: jobCount }, () => site.accept(stages[stage - 1] ?? [])));
    const last = stages.at(-1)?.[0] as JobId;
    const afterAdding = site.index.visitCount;
    for (let poll = 0; poll < 1000; poll++) expect(site.index.judge(last)).toBe('clear');
    expect(site.index.visitCount).toBe(afterAdding);
    site.end(stages[0]?.[0] as JobId, 'cancelled');
    expect(site.index.judge(last)).toBe('cancelled');
    const maxVisits = site.states.size * 2 + site.edgeCount * MAX_VISITS_PER_EDGE;
    expect(site.index.visitCount).toBeLessThanOrEqual(maxVisits);
    // After a restart the polls that come before everything is resolved share one search.
    site.reload([...site.states.keys()].filter((id) => site.states.get(id) === 'accepted'));
    for (let poll = 0; poll < 1000; poll++) expect(site.index.judge(last)).toBe('unresolved');
    expect(site.index.visitCount).toBeLessThanOrEqual(maxVisits);
  });

  // Guards against jobs and edges that stay after their jobs have ended.
  it('is empty after all jobs have ended', () => {
    const site = new IndexUnderTest();
    const first = site.accept([]);
    const second = site.accept([first]);
    const third = site.accept([first, second]);
    site.reload([second, third]);
    expect(site.index.unresolvedCount).toBeGreaterThan(0);
    site.end(second, 'cancelled');
    site.end(third, 'cancelled');
    for (const id of [first, second, third]) expect(site.index.kindOf(id)).toBe(undefined);
    expect(site.index.unresolvedCount).toBe(0);
    expect(site.index.jobCount).toBe(0);
  });
});

describe('maxDependencyCount', () => {
  /** What V8 reports for the command of the deploy file. */
  const HEAP_LIMIT_BYTES = 100 * 1024 * 1024;

  it('leaves room for five stages of 200 jobs in the heap of the deploy file, and grows with the memory', () => {
    const count = maxDependencyCount(null, HEAP_LIMIT_BYTES);
    const betweenStages = 4 * 200 * 200;
    expect(count).toBeGreaterThanOrEqual(betweenStages);
    expect(maxDependencyCount(null, 2 * HEAP_LIMIT_BYTES)).toBe(2 * count);
  });

  // Guards against a controller with less memory than its heap may take.
  it('follows the memory of the process if that is less than the heap limit', () => {
    const count = maxDependencyCount(null, HEAP_LIMIT_BYTES);
    expect(maxDependencyCount(HEAP_LIMIT_BYTES / 2e6, HEAP_LIMIT_BYTES)).toBe(count / 2);
    expect(maxDependencyCount(300, HEAP_LIMIT_BYTES)).toBe(count);
  });
});
