/** An in-memory index of open jobs and their dependencies, in which a cancellation reaches all dependents. */
import type { JobId, Revision } from '../model/ids.js';
import type { FinalState, JobKind, JobRecord } from '../model/job.js';

/**
 * What is known of a job:
 * - `unknown`: another job names it, and its record has to be read.
 * - `unconfirmed`: it was accepted with the known revision, and may have ended since.
 * - `open`: it was accepted, and every later change of its record is delivered to the index.
 * - `cancelled`: it, or a job that it depends on, is cancelled.
 * - `done`: it is done and has left the index.
 */
type IndexedState = 'unknown' | 'unconfirmed' | 'open' | 'cancelled' | 'done';

/** A job in the index. */
export interface IndexedJob {
  readonly id: JobId;
  readonly state: IndexedState;
  /** The revision of the job's record; null: the record has not been read. */
  readonly revision: Revision | null;
  /** The number of overflow records with dependencies that have not been read. */
  readonly unreadRecordCount: number;
}

interface Node extends IndexedJob {
  state: IndexedState;
  revision: Revision | null;
  kind: JobKind | null;
  unreadRecordCount: number;
  readonly dependencies: Node[];
  /** Null: no job in the index depends on this one, as is the case for most. */
  dependents: Set<Node> | null;
}

/**
 * The dependencies of a job, as of the last change that was passed to the index:
 * - `clear`: no direct or transitive dependency is cancelled.
 * - `cancelled`: one of them is cancelled.
 * - `unresolved`: records have to be read before this is known.
 */
export type DependencyVerdict = 'clear' | 'cancelled' | 'unresolved';

/**
 * Holds all open jobs and the jobs that they depend on. The dependencies of a job never change, and a cancellation is
 * passed on to the dependents when it becomes known: each job is cancelled once and each edge is visited a bounded
 * number of times in its life, so that a query does not have to follow the graph.
 *
 * The index is complete as of the last change if it receives all open jobs and then every change of a job record.
 */
export class DependencyIndex {
  private readonly jobs = new Map<JobId, Node>();
  /** Jobs with dependents whose known revision must be compared with the store's. */
  private readonly toConfirm = new Set<Node>();
  /** Jobs whose record or overflow records must be read. */
  private readonly toRead = new Set<Node>();
  /** The unresolved jobs and all their dependents; null: outdated. */
  private unresolvedClosure: Set<Node> | null = null;
  private dependencyCount = 0;
  private visits = 0;

  constructor(
    /** Returns the final state of a job that is known to have ended; undefined: not known. */
    private readonly finalStateOf: (id: JobId) => FinalState | undefined,
  ) {}

  /** The number of visits of jobs and edges so far. */
  get visitCount(): number {
    return this.visits;
  }

  /** The number of dependencies that the jobs in the index have, those that are done by now included. */
  get edgeCount(): number {
    return this.dependencyCount;
  }

  /** The number of jobs in the index. */
  get jobCount(): number {
    return this.jobs.size;
  }

  /** The number of jobs about which records have to be read. */
  get unresolvedCount(): number {
    return this.toConfirm.size + this.toRead.size;
  }

  /** Removes all jobs, because changes have been missed. */
  clear(): void {
    this.jobs.clear();
    this.toConfirm.clear();
    this.toRead.clear();
    this.unresolvedClosure = null;
    this.dependencyCount = 0;
  }

  /** Returns the kind of an open job; undefined: the job is not known to be open. */
  kindOf(id: JobId): JobKind | undefined {
    return this.jobs.get(id)?.kind ?? undefined;
  }

  /** Whether the job object still represents its job: neither it has ended, nor has the index been cleared. */
  contains(job: IndexedJob): boolean {
    return this.jobs.get(job.id) === job;
  }

  /**
   * Judges the dependencies of a job. A job that is not in the index has ended, which its own record tells: `clear`.
   */
  judge(id: JobId): DependencyVerdict {
    const job = this.jobs.get(id);
    if (!job) return 'clear';
    if (job.state === 'cancelled') return 'cancelled';
    if (this.unresolvedCount === 0) return 'clear';
    this.unresolvedClosure ??= this.findUnresolvedClosure();
    return this.unresolvedClosure.has(job) ? 'unresolved' : 'clear';
  }

  /**
   * Adds an accepted job. `isConfirmed`: the record was read after the job had come into the index, or is a change in
   * the order of revisions.
   */
  addAccepted({ spec }: JobRecord, revision: Revision, isConfirmed: boolean): void {
    const job = this.jobs.get(spec.id) ?? this.createNode(spec.id);
    const isNew = job.revision === null;
    if (job.state === 'cancelled' || (job.state === 'open' && !isNew)) return;
    job.revision = revision;
    job.kind = spec.kind;
    job.state = isConfirmed ? 'open' : 'unconfirmed';
    if (isNew) {
      job.unreadRecordCount = spec.dependencyRecordCount;
      this.link(job, spec.dependencies);
    }
    this.updateResolution(job);
  }

  /** Removes the dependencies of a job that has started: all of them are done. */
  recordStarted(id: JobId): void {
    const job = this.jobs.get(id);
    if (!job || job.state === 'cancelled') return;
    job.unreadRecordCount = 0;
    this.unlink(job);
    this.updateResolution(job);
  }

  /** Adds the dependencies of a job that its overflow records hold. */
  addDependencies(job: IndexedJob, dependencies: readonly JobId[]): void {
    const node = this.jobs.get(job.id);
    if (node !== job) return;
    node.unreadRecordCount = 0;
    this.link(node, dependencies);
    this.updateResolution(node);
  }

  /** Removes a job that has ended. The dependents of a cancelled job count as cancelled from now on. */
  applyEnded(id: JobId, state: FinalState): void {
    const job = this.jobs.get(id);
    if (!job) return;
    if (state === 'cancelled') this.cancelWithDependents(job);
    this.remove(job, state);
  }

  /** Returns up to `count` jobs whose revisions have to be compared with the store's. */
  jobsToConfirm(count: number): IndexedJob[] {
    return firstOf(this.toConfirm, count);
  }

  /** Returns up to `count` jobs whose records, or overflow records, have to be read. */
  jobsToRead(count: number): IndexedJob[] {
    return firstOf(this.toRead, count);
  }

  /** Records that the store's revision of an unconfirmed job was the known one (`isSame`) or another one. */
  recordComparison(job: IndexedJob, isSame: boolean): void {
    const node = this.jobs.get(job.id);
    if (node !== job || node.state !== 'unconfirmed') return;
    node.state = isSame ? 'open' : 'unknown';
    this.updateResolution(node);
  }

  /** Treats a job without a record as open: only a submission that was never accepted can name it. */
  recordAbsent(job: IndexedJob): void {
    const node = this.jobs.get(job.id);
    if (node !== job || node.state !== 'unknown') return;
    node.state = 'open';
    this.updateResolution(node);
  }

  /** Lets the other jobs be read before this one, whose read has failed. */
  postponeRead(job: IndexedJob): void {
    const node = this.jobs.get(job.id);
    if (node !== undefined && this.toRead.delete(node)) this.toRead.add(node);
  }

  private createNode(id: JobId): Node {
    const job: Node = {
      id,
      state: 'unknown',
      revision: null,
      kind: null,
      unreadRecordCount: 0,
      dependencies: [],
      dependents: null,
    };
    this.jobs.set(id, job);
    return job;
  }

  private link(job: Node, dependencies: readonly JobId[]): void {
    let isCancelled = false;
    for (const id of dependencies) {
      this.visits++;
      const finalState = this.finalStateOf(id);
      if (finalState === 'done') continue;
      const dependency = this.jobs.get(id) ?? this.createNode(id);
      if (finalState === 'cancelled') dependency.state = 'cancelled';
      dependency.dependents ??= new Set();
      dependency.dependents.add(job);
      job.dependencies.push(dependency);
      this.dependencyCount++;
      this.updateResolution(dependency);
      isCancelled ||= dependency.state === 'cancelled';
    }
    this.unresolvedClosure = null;
    if (isCancelled) this.cancelWithDependents(job);
  }

  private cancelWithDependents(cancelled: Node): void {
    const pending = [cancelled];
    for (let job = pending.pop(); job !== undefined; job = pending.pop()) {
      this.visits++;
      if (job.state === 'cancelled' && job !== cancelled) continue;
      job.state = 'cancelled';
      this.updateResolution(job);
      for (const dependent of job.dependents ?? []) {
        this.visits++;
        if (dependent.state !== 'cancelled') pending.push(dependent);
      }
    }
  }

  private remove(job: Node, state: FinalState): void {
    job.state = state;
    this.jobs.delete(job.id);
    job.dependents = null;
    this.updateResolution(job);
    this.unlink(job);
  }

  private unlink(job: Node): void {
    for (const dependency of job.dependencies.splice(0)) {
      this.visits++;
      this.dependencyCount--;
      dependency.dependents?.delete(job);
      if (dependency.dependents?.size === 0) dependency.dependents = null;
      this.updateResolution(dependency);
      // A job of which no record was read is only held for its dependents.
      if (dependency.dependents === null && dependency.revision === null && this.contains(dependency))
        this.jobs.delete(dependency.id);
    }
    this.unresolvedClosure = null;
  }

  /** Updates whether records of the job have to be read. */
  private updateResolution(job: Node): void {
    const isEnded = job.state === 'cancelled' || job.state === 'done';
    const hasDependents = job.dependents !== null;
    const mustConfirm = job.state === 'unconfirmed' && hasDependents;
    const mustRead = !isEnded && ((job.state === 'unknown' && hasDependents) || job.unreadRecordCount > 0);
    if (setMembership(this.toConfirm, job, mustConfirm)) this.unresolvedClosure = null;
    if (setMembership(this.toRead, job, mustRead)) this.unresolvedClosure = null;
  }

  private findUnresolvedClosure(): Set<Node> {
    const closure = new Set<Node>([...this.toConfirm, ...this.toRead]);
    // A set that grows while it is iterated also yields the added jobs.
    for (const job of closure) {
      this.visits++;
      for (const dependent of job.dependents ?? []) {
        this.visits++;
        closure.add(dependent);
      }
    }
    return closure;
  }
}

/** Adds an element to a set or removes it; returns whether the set has changed. */
function setMembership<T>(set: Set<T>, element: T, isMember: boolean): boolean {
  if (set.has(element) === isMember) return false;
  if (isMember) set.add(element);
  else set.delete(element);
  return true;
}

function firstOf<T>(set: Set<T>, count: number): T[] {
  const first: T[] = [];
  for (const element of set) {
    if (first.length >= count) break;
    first.push(element);
  }
  return first;
}
