/** Checks the protocol's rules on the events of a site. */
import { type MachineId, type JobId, parseTaskId, type TaskId } from '../../src/model/ids.js';
import type { Machine } from '../../src/model/machine.js';

/** A submitted job, in the protocol's terms: the body of the submission and the team's CPU limit. */
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

/** Checks PROTOCOL's rules from what the fakes observe alone: it does not look into the controllers. */
export class RuleChecker {
  private readonly jobs = new Map<JobId, SubmittedJob>();
  /** When the users learned that a job was accepted. */
  private readonly acceptedAt = new Map<JobId, number>();
  private readonly runningOn = new Map<TaskId, Machine>();
  private readonly usedCpus = new Map<string, number>();
  private readonly doneTasks = new Set<TaskId>();
  private readonly doneCounts = new Map<string, number>();
  /** Jobs that a user has requested to cancel, whether answered or not. */
  private readonly cancelRequested = new Set<string>();
  private readonly cancelDeadlines = new Map<JobId, number>();
  private readonly reportedStates = new Map<JobId, { readonly state: string; readonly at: number }>();
  /** Descriptions of all violations. */
  readonly violations: string[] = [];
  /** The number of attempts that were started. */
  startCount = 0;

  constructor(private readonly trace: (text: string) => void) {}

  /** Called for every violation. */
  onViolation: (text: string) => void = () => {};

  recordViolation(text: string): void {
    this.violations.push(text);
    this.onViolation(text);
    this.trace(text);
  }

  /** Records a submission: from the first attempt on, the job may be accepted and its tasks may start. */
  recordSubmission(id: JobId, body: Omit<SubmittedJob, 'limit'>, limit: number | null): void {
    if (!this.jobs.has(id)) this.jobs.set(id, { ...body, limit });
  }

  /** Records that a user learned that a job was accepted. */
  recordAcceptance(id: JobId, now = -Infinity): void {
    if (!this.acceptedAt.has(id)) this.acceptedAt.set(id, now);
  }

  acceptedJobs(): Iterable<JobId> {
    return this.acceptedAt.keys();
  }

  /** Returns the machine on which a task runs. */
  machineOf(task: TaskId): MachineId | undefined {
    return this.runningOn.get(task)?.id;
  }

  /** Counts the running tasks that match. */
  countRunning(matches: (task: TaskId) => boolean): number {
    return [...this.runningOn.keys()].filter(matches).length;
  }

  /** Records that a task started, and checks all rules for starts. */
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
      .map(([, { zone }]) => zone);
    if (job.samePlace && new Set(zones).size > 1) this.recordViolation(`wrong_place: ${id} in several zones`);
    const countInZone = zones.filter((zone) => zone === machine.zone).length;
    if (job.apart && countInZone > Math.ceil(job.shards / 2)) {
      this.recordViolation(`wrong_place: ${countInZone} tasks of ${id} in ${machine.zone}`);
    }
  }

  private checkQuota({ owner, limit }: SubmittedJob): void {
    const used = this.usedCpus.get(owner) ?? 0;
    if (limit !== null && used > limit) this.recordViolation(`quota: ${owner} uses ${used} of ${limit}`);
  }

  private checkStartTime(task: TaskId, id: JobId, job: SubmittedJob, now: number): void {
    const deadline = this.cancelDeadlines.get(id);
    if (deadline !== undefined && now > deadline) this.recordViolation(`ran_cancelled: ${task} starts`);
    for (const ref of job.awaits) {
      const required = this.jobs.get(ref as JobId)?.shards ?? 0;
      if ((this.doneCounts.get(ref) ?? 0) < required)
        this.recordViolation(`too_early: ${task} before ${ref} is done`);
    }
  }

  private addUsage(job: SubmittedJob, tasks: number): void {
    this.usedCpus.set(job.owner, (this.usedCpus.get(job.owner) ?? 0) + tasks * job.cpus);
  }

  /** Records that a task ended on a machine. */
  recordEnd(task: TaskId, machine: MachineId, isDone: boolean): void {
    if (this.runningOn.get(task)?.id === machine) {
      this.runningOn.delete(task);
      const job = this.jobs.get(parseTaskId(task)?.job as JobId);
      if (job) this.addUsage(job, -1);
    }
    if (!isDone || this.doneTasks.has(task)) return;
    this.doneTasks.add(task);
    const ref = parseTaskId(task)?.job as string;
    this.doneCounts.set(ref, (this.doneCounts.get(ref) ?? 0) + 1);
  }

  /** Records how a job ended before this site began. */
  recordEarlierEnd(id: JobId, isDone: boolean): void {
    if (isDone) this.doneCounts.set(id, this.jobs.get(id)?.shards ?? 0);
    else this.cancelRequested.add(id);
  }

  /** Records that a user requested a cancellation. */
  recordCancelRequest(id: string): void {
    this.cancelRequested.add(id);
  }

  /** Returns all direct and transitive dependencies of a job. */
  private ancestorsOf(id: string): Set<string> {
    const ancestors = new Set<string>();
    const pending = [...(this.jobs.get(id as JobId)?.awaits ?? [])];
    for (let ref = pending.pop(); ref !== undefined; ref = pending.pop()) {
      if (ancestors.has(ref)) continue;
      ancestors.add(ref);
      pending.push(...(this.jobs.get(ref as JobId)?.awaits ?? []));
    }
    return ancestors;
  }

  /** Records a confirmed cancellation: no task of the job may run after the deadline. */
  recordCancellation(id: JobId, deadline: number): void {
    if (!this.cancelDeadlines.has(id)) this.cancelDeadlines.set(id, deadline);
  }

  /** Checks that cancelled jobs have no running task after their deadline. */
  checkCancelled(now: number): void {
    for (const [id, deadline] of this.cancelDeadlines) {
      if (now > deadline && this.countRunning((task) => parseTaskId(task)?.job === id) > 0) {
        this.recordViolation(`ran_cancelled: ${id} is still on a machine`);
      }
    }
  }

  /**
   * Records a job's state as a user learned it, and checks all rules for answers. `askedAt`: when the request was sent.
   * What was reported after that is no reason for a violation.
   */
  recordReportedState(id: JobId, state: string, now: number, askedAt = now): void {
    const before = this.reportedStates.get(id);
    const wasFinal = before?.state === 'done' || before?.state === 'cancelled';
    this.checkExistence(id, state, askedAt);
    if (before && wasFinal && before.at <= askedAt && state !== before.state) {
      this.recordViolation(`went_back: ${id} from ${before.state} to ${state}`);
    }
    if (state === 'pending' || state === 'running') this.checkOrphan(id, state, askedAt);
    if (state === 'cancelled') this.checkCancelRequested(id);
    if (state === 'done') this.checkDone(id);
    if (!wasFinal) this.reportedStates.set(id, { state, at: now });
  }

  private checkExistence(id: JobId, state: string, askedAt: number): void {
    const acceptedAt = this.acceptedAt.get(id) ?? Infinity;
    if (state === '404' && acceptedAt <= askedAt) this.recordViolation(`forgotten: ${id}`);
    if (state !== '404' && !this.jobs.has(id)) this.recordViolation(`invented: ${id}`);
  }

  private checkOrphan(id: JobId, state: string, now: number): void {
    const cancelledAncestor = [...this.ancestorsOf(id)].find(
      (ref) => now > (this.cancelDeadlines.get(ref as JobId) ?? Infinity),
    );
    if (cancelledAncestor)
      this.recordViolation(`orphaned: ${id} is called ${state}, ${cancelledAncestor} is cancelled`);
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
