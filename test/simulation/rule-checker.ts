import { type MachineId, type JobId, parseTaskId, type TaskId } from '../../src/model/ids.js';
import type { Machine } from '../../src/model/machine.js';

interface SubmittedJob {
  readonly owner: string;
  readonly cpus: number;
  readonly shards: number;
  readonly flavours: readonly string[] | null;
  readonly hall: string | null;
  readonly samePlace: boolean;
  readonly apart: boolean;
  readonly reclaimable: boolean;
  readonly awaits: readonly string[];
  readonly limit: number | null;
}

/** PROTOCOL's rules, checked on the stand-ins alone: it knows nothing of the controllers. */
export class RuleChecker {
  private readonly jobs = new Map<JobId, SubmittedJob>();
  /** When their users were told that they are accepted. */
  private readonly acceptedAt = new Map<JobId, number>();
  private readonly runningOn = new Map<TaskId, Machine>();
  private readonly usedCpus = new Map<string, number>();
  private readonly doneTasks = new Set<TaskId>();
  private readonly doneCounts = new Map<string, number>();
  /** Jobs that a user has asked to cancel, answered or not. */
  private readonly cancelRequested = new Set<string>();
  private readonly cancelDeadlines = new Map<JobId, number>();
  private readonly reportedStates = new Map<JobId, { readonly state: string; readonly at: number }>();
  readonly violations: string[] = [];
  startCount = 0;

  constructor(private readonly trace: (text: string) => void) {}

  /** Told of every breach. */
  onViolation: (text: string) => void = () => {};

  recordViolation(text: string): void {
    this.violations.push(text);
    this.onViolation(text);
    this.trace(text);
  }

  /** From the first attempt on a job may be accepted, and its tasks may start. */
  recordSubmission(id: JobId, body: Omit<SubmittedJob, 'limit'>, limit: number | null): void {
    if (!this.jobs.has(id)) this.jobs.set(id, { ...body, limit });
  }

  recordAcceptance(id: JobId, now = -Infinity): void {
    if (!this.acceptedAt.has(id)) this.acceptedAt.set(id, now);
  }

  acceptedJobs(): Iterable<JobId> {
    return this.acceptedAt.keys();
  }

  machineOf(task: TaskId): MachineId | undefined {
    return this.runningOn.get(task)?.id;
  }

  countRunning(which: (task: TaskId) => boolean): number {
    return [...this.runningOn.keys()].filter(which).length;
  }

  recordStart(task: TaskId, machine: Machine, now: number): void {
    const id = parseTaskId(task)?.job as JobId;
    const job = this.jobs.get(id);
    if (!job) return this.recordViolation(`invented: ${task} was never submitted`);
    if (this.runningOn.has(task))
      this.recordViolation(`ran_twice: ${task} on ${machine.id} and ${this.runningOn.get(task)?.id}`);
    this.runningOn.set(task, machine);
    this.startCount++;
    this.addUsage(job, 1);
    this.checkPlace(task, id, job, machine);
    this.checkQuota(job);
    this.checkStartTime(task, id, job, now);
  }

  private checkPlace(task: TaskId, id: JobId, job: SubmittedJob, machine: Machine): void {
    if (job.hall !== null && job.hall !== machine.zone) {
      this.recordViolation(`wrong_place: ${task} in ${machine.zone}`);
    }
    if (job.flavours !== null && !job.flavours.includes(machine.type)) {
      this.recordViolation(`wrong_place: ${task} on a machine of type ${machine.type}`);
    }
    if (machine.spot && !job.reclaimable) this.recordViolation(`wrong_place: ${task} on a spot machine`);
    if (!job.samePlace && !job.apart) return;
    const zones = [...this.runningOn]
      .filter(([other]) => parseTaskId(other)?.job === id)
      .map(([, m]) => m.zone);
    if (job.samePlace && new Set(zones).size > 1) this.recordViolation(`wrong_place: ${id} in several zones`);
    const here = zones.filter((zone) => zone === machine.zone).length;
    if (job.apart && here > Math.ceil(job.shards / 2)) {
      this.recordViolation(`wrong_place: ${here} tasks of ${id} in ${machine.zone}`);
    }
  }

  private checkQuota({ owner, limit }: SubmittedJob): void {
    const used = this.usedCpus.get(owner) ?? 0;
    if (limit !== null && used > limit) this.recordViolation(`quota: ${owner} uses ${used} of ${limit}`);
  }

  private checkStartTime(task: TaskId, id: JobId, job: SubmittedJob, now: number): void {
    const limit = this.cancelDeadlines.get(id);
    if (limit !== undefined && now > limit) this.recordViolation(`ran_cancelled: ${task} starts`);
    for (const ref of job.awaits) {
      const needed = this.jobs.get(ref as JobId)?.shards ?? 0;
      if ((this.doneCounts.get(ref) ?? 0) < needed)
        this.recordViolation(`too_early: ${task} before ${ref} is done`);
    }
  }

  private addUsage(job: SubmittedJob, tasks: number): void {
    this.usedCpus.set(job.owner, (this.usedCpus.get(job.owner) ?? 0) + tasks * job.cpus);
  }

  recordEnd(task: TaskId, host: MachineId, done: boolean): void {
    if (this.runningOn.get(task)?.id === host) {
      this.runningOn.delete(task);
      const job = this.jobs.get(parseTaskId(task)?.job as JobId);
      if (job) this.addUsage(job, -1);
    }
    if (!done || this.doneTasks.has(task)) return;
    this.doneTasks.add(task);
    const ref = parseTaskId(task)?.job as string;
    this.doneCounts.set(ref, (this.doneCounts.get(ref) ?? 0) + 1);
  }

  /** How a job ended before the day began. */
  recordEarlierEnd(id: JobId, done: boolean): void {
    if (done) this.doneCounts.set(id, this.jobs.get(id)?.shards ?? 0);
    else this.cancelRequested.add(id);
  }

  recordCancelRequest(id: string): void {
    this.cancelRequested.add(id);
  }

  /** All jobs that it needs, directly or through others. */
  private ancestorsOf(id: string): Set<string> {
    const found = new Set<string>();
    const next = [...(this.jobs.get(id as JobId)?.awaits ?? [])];
    for (let ref = next.pop(); ref !== undefined; ref = next.pop()) {
      if (found.has(ref)) continue;
      found.add(ref);
      next.push(...(this.jobs.get(ref as JobId)?.awaits ?? []));
    }
    return found;
  }

  recordCancellation(id: JobId, limit: number): void {
    if (!this.cancelDeadlines.has(id)) this.cancelDeadlines.set(id, limit);
  }

  checkCancelled(now: number): void {
    for (const [id, limit] of this.cancelDeadlines) {
      if (now > limit && this.countRunning((t) => parseTaskId(t)?.job === id) > 0) {
        this.recordViolation(`ran_cancelled: ${id} is still on a machine`);
      }
    }
  }

  /** `askedAt`: an answer may only be as old as the question; what was told in between is no breach. */
  recordReportedState(id: JobId, state: string, now: number, askedAt = now): void {
    const before = this.reportedStates.get(id);
    const final = before?.state === 'done' || before?.state === 'cancelled';
    this.checkExistence(id, state, askedAt);
    if (before && final && before.at <= askedAt && state !== before.state) {
      this.recordViolation(`went_back: ${id} from ${before.state} to ${state}`);
    }
    if (state === 'pending' || state === 'running') this.checkOrphan(id, state, askedAt);
    if (state === 'cancelled') this.checkCancelRequested(id);
    if (state === 'done') this.checkDone(id);
    if (!final) this.reportedStates.set(id, { state, at: now });
  }

  private checkExistence(id: JobId, state: string, askedAt: number): void {
    const acceptedAt = this.acceptedAt.get(id) ?? Infinity;
    if (state === '404' && acceptedAt <= askedAt) this.recordViolation(`forgotten: ${id}`);
    if (state !== '404' && !this.jobs.has(id)) this.recordViolation(`invented: ${id}`);
  }

  private checkOrphan(id: JobId, state: string, now: number): void {
    const late = [...this.ancestorsOf(id)].find(
      (ref) => now > (this.cancelDeadlines.get(ref as JobId) ?? Infinity),
    );
    if (late) this.recordViolation(`orphaned: ${id} is called ${state}, ${late} is cancelled`);
  }

  private checkCancelRequested(id: JobId): void {
    if ([id, ...this.ancestorsOf(id)].some((ref) => this.cancelRequested.has(ref))) return;
    this.recordViolation(`went_back: ${id} is called cancelled, and nobody asked for that`);
  }

  private checkDone(id: JobId): void {
    const job = this.jobs.get(id);
    const finished = this.doneCounts.get(id) ?? 0;
    if (job && finished < job.shards) this.recordViolation(`not_done: ${id}, ${finished} of ${job.shards}`);
  }
}
