/** Checks the rules of PROTOCOL against the events of a site. */
import { type MachineId, type JobId, parseTaskId, type TaskId } from '../../src/model/ids.js';
import type { Machine } from '../../src/model/machine.js';

/** A submitted job: the fields of the submission's body under their names on the wire, and the team's CPU limit. */
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
  /** The CPUs that all running tasks of the team may use together; null: no limit. */
  readonly teamCpuLimit: number | null;
}

/** Checks the rules of PROTOCOL only against what fakes and users observe, without access to the controllers' state. */
export class RuleChecker {
  private readonly jobs = new Map<JobId, SubmittedJob>();
  /** The time at which a user received the acceptance of a job, by job; -Infinity if the time was not recorded. */
  private readonly acceptedAt = new Map<JobId, number>();
  private readonly runningOn = new Map<TaskId, Machine>();
  private readonly usedCpus = new Map<string, number>();
  private readonly doneTasks = new Set<TaskId>();
  private readonly doneTaskCounts = new Map<string, number>();
  /** Jobs whose cancellation a user has requested, with or without an answer, and restored jobs that were cancelled. */
  private readonly cancelRequested = new Set<string>();
  /** The time after which no task of a cancelled job may run, by job. */
  private readonly cancelDeadlines = new Map<JobId, number>();
  /** The first final state (`done` or `cancelled`) that a user received for a job, or else the latest state. */
  private readonly reportedStates = new Map<JobId, { readonly state: string; readonly at: number }>();
  /** The descriptions of all violations, which begin with the name of the violated rule. */
  readonly violations: string[] = [];
  /** The number of started attempts of submitted jobs. */
  startCount = 0;

  constructor(private readonly trace: (text: string) => void) {}

  /** Called with the description of every violation. */
  onViolation: (text: string) => void = () => {};

  recordViolation(text: string): void {
    this.violations.push(text);
    this.onViolation(text);
    this.trace(text);
  }

  /**
   * Records that a user sends a submission. A submission may be accepted, and its tasks may start, from the first
   * request on, even when the user gets no answer.
   */
  recordSubmission(id: JobId, body: Omit<SubmittedJob, 'teamCpuLimit'>, teamCpuLimit: number | null): void {
    if (!this.jobs.has(id)) this.jobs.set(id, { ...body, teamCpuLimit });
  }

  /**
   * Records that a user received the acceptance of a job at the time `now`. Without `now` the acceptance counts as
   * older than every request, so that every later 404 answer is a violation.
   */
  recordAcceptance(id: JobId, now = -Infinity): void {
    if (!this.acceptedAt.has(id)) this.acceptedAt.set(id, now);
  }

  /** Returns the jobs whose acceptance a user received. */
  acceptedJobs(): Iterable<JobId> {
    return this.acceptedAt.keys();
  }

  /** Returns the machine on which a task runs; undefined if the task does not run. */
  machineOf(task: TaskId): MachineId | undefined {
    return this.runningOn.get(task)?.id;
  }

  /** Returns the number of running tasks for which `matches` is true. */
  countRunning(matches: (task: TaskId) => boolean): number {
    return [...this.runningOn.keys()].filter(matches).length;
  }

  /** Records that a task started on a machine, and checks all rules that apply to task starts. */
  recordStart(task: TaskId, machine: Machine, now: number): void {
    const id = parseTaskId(task)?.job as JobId;
    const job = this.jobs.get(id);
    if (!job) return this.recordViolation(`invented: ${task} was never submitted`);
    if (this.runningOn.has(task))
      this.recordViolation(`ran_twice: ${task} on ${machine.id} and ${this.runningOn.get(task)?.id}`);
    this.runningOn.set(task, machine);
    this.startCount++;
    this.adjustCpuUsage(job, 1);
    this.checkPlacement(task, id, job, machine);
    this.checkQuota(job);
    this.checkStartTime(task, id, job, now);
  }

  private checkPlacement(task: TaskId, id: JobId, job: SubmittedJob, machine: Machine): void {
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

  private checkQuota({ owner, teamCpuLimit }: SubmittedJob): void {
    const used = this.usedCpus.get(owner) ?? 0;
    if (teamCpuLimit !== null && used > teamCpuLimit)
      this.recordViolation(`quota: ${owner} uses ${used} of ${teamCpuLimit}`);
  }

  private checkStartTime(task: TaskId, id: JobId, job: SubmittedJob, now: number): void {
    const deadline = this.cancelDeadlines.get(id);
    if (deadline !== undefined && now > deadline) this.recordViolation(`ran_cancelled: ${task} starts`);
    for (const ref of job.awaits) {
      const requiredTaskCount = this.jobs.get(ref as JobId)?.shards ?? 0;
      if ((this.doneTaskCounts.get(ref) ?? 0) < requiredTaskCount)
        this.recordViolation(`too_early: ${task} before ${ref} is done`);
    }
  }

  private adjustCpuUsage(job: SubmittedJob, taskDelta: number): void {
    this.usedCpus.set(job.owner, (this.usedCpus.get(job.owner) ?? 0) + taskDelta * job.cpus);
  }

  /** Records that a task ended on a machine. `isDone`: whether the task completed successfully. */
  recordEnd(task: TaskId, machine: MachineId, isDone: boolean): void {
    if (this.runningOn.get(task)?.id === machine) {
      this.runningOn.delete(task);
      const job = this.jobs.get(parseTaskId(task)?.job as JobId);
      if (job) this.adjustCpuUsage(job, -1);
    }
    if (!isDone || this.doneTasks.has(task)) return;
    this.doneTasks.add(task);
    const ref = parseTaskId(task)?.job as string;
    this.doneTaskCounts.set(ref, (this.doneTaskCounts.get(ref) ?? 0) + 1);
  }

  /** Records whether a restored job was done or cancelled before this site was created. */
  recordRestoredOutcome(id: JobId, isDone: boolean): void {
    if (isDone) this.doneTaskCounts.set(id, this.jobs.get(id)?.shards ?? 0);
    else this.cancelRequested.add(id);
  }

  /** Records that a user sends a request to cancel a job. */
  recordCancelRequest(id: string): void {
    this.cancelRequested.add(id);
  }

  /** Returns all direct and transitive dependencies of a job. */
  private ancestorsOf(id: string): Set<string> {
    const ancestors = new Set<string>();
    const unvisited = [...(this.jobs.get(id as JobId)?.awaits ?? [])];
    for (let ref = unvisited.pop(); ref !== undefined; ref = unvisited.pop()) {
      if (ancestors.has(ref)) continue;
      ancestors.add(ref);
      unvisited.push(...(this.jobs.get(ref as JobId)?.awaits ?? []));
    }
    return ancestors;
  }

  /** Records that a user received the confirmation of a cancellation: no task of the job may run after `deadline`. */
  recordConfirmedCancellation(id: JobId, deadline: number): void {
    if (!this.cancelDeadlines.has(id)) this.cancelDeadlines.set(id, deadline);
  }

  /** Checks that no task of a cancelled job runs after the deadline of the cancellation. */
  checkCancelled(now: number): void {
    for (const [id, deadline] of this.cancelDeadlines) {
      if (now > deadline && this.countRunning((task) => parseTaskId(task)?.job === id) > 0) {
        this.recordViolation(`ran_cancelled: ${id} is still on a machine`);
      }
    }
  }

  /**
   * Records the state of a job that a user received, and checks all rules that apply to answers. `requestedAt` is the
   * time at which the user sent the request, `now` by default. The answer may be older than anything that users
   * received after that time, so that a contradiction with such a later answer is no violation.
   */
  recordReportedState(id: JobId, state: string, now: number, requestedAt = now): void {
    const previous = this.reportedStates.get(id);
    const wasTerminal = previous?.state === 'done' || previous?.state === 'cancelled';
    this.checkExistence(id, state, requestedAt);
    if (previous && wasTerminal && previous.at <= requestedAt && state !== previous.state) {
      this.recordViolation(`went_back: ${id} from ${previous.state} to ${state}`);
    }
    if (state === 'pending' || state === 'running') this.checkOrphan(id, state, requestedAt);
    if (state === 'cancelled') this.checkCancelRequested(id);
    if (state === 'done') this.checkDone(id);
    if (!wasTerminal) this.reportedStates.set(id, { state, at: now });
  }

  private checkExistence(id: JobId, state: string, requestedAt: number): void {
    const acceptedAt = this.acceptedAt.get(id) ?? Infinity;
    if (state === '404' && acceptedAt <= requestedAt) this.recordViolation(`forgotten: ${id}`);
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
    const doneTaskCount = this.doneTaskCounts.get(id) ?? 0;
    if (job && doneTaskCount < job.shards)
      this.recordViolation(`not_done: ${id}, ${doneTaskCount} of ${job.shards}`);
  }
}
