import { type MachineId, type JobId, parseTaskId, type TaskId } from '../../src/model/ids.js';
import type { Machine } from '../../src/model/machine.js';

interface Accepted {
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
  private readonly jobs = new Map<JobId, Accepted>();
  /** When their users were told that they are accepted. */
  private readonly known = new Map<JobId, number>();
  private readonly on = new Map<TaskId, Machine>();
  private readonly used = new Map<string, number>();
  private readonly done = new Set<TaskId>();
  private readonly doneOf = new Map<string, number>();
  /** Jobs that a user has asked to cancel, answered or not. */
  private readonly asked = new Set<string>();
  private readonly cancelledBy = new Map<JobId, number>();
  private readonly told_ = new Map<JobId, { readonly state: string; readonly at: number }>();
  readonly broken: string[] = [];
  starts = 0;

  constructor(private readonly trace: (text: string) => void) {}

  /** Told of every breach. */
  onBreach: (text: string) => void = () => {};

  breach(text: string): void {
    this.broken.push(text);
    this.onBreach(text);
    this.trace(text);
  }

  /** From the first attempt on a job may be accepted, and its tasks may start. */
  submitted(id: JobId, body: Omit<Accepted, 'limit'>, limit: number | null): void {
    if (!this.jobs.has(id)) this.jobs.set(id, { ...body, limit });
  }

  accepted(id: JobId, now = -Infinity): void {
    if (!this.known.has(id)) this.known.set(id, now);
  }

  acceptedJobs(): Iterable<JobId> {
    return this.known.keys();
  }

  where(task: TaskId): MachineId | undefined {
    return this.on.get(task)?.id;
  }

  count(which: (task: TaskId) => boolean): number {
    return [...this.on.keys()].filter(which).length;
  }

  started(task: TaskId, machine: Machine, now: number): void {
    const id = parseTaskId(task)?.job as JobId;
    const job = this.jobs.get(id);
    if (!job) return this.breach(`invented: ${task} was never submitted`);
    if (this.on.has(task)) this.breach(`ran_twice: ${task} on ${machine.id} and ${this.on.get(task)?.id}`);
    this.on.set(task, machine);
    this.starts++;
    this.use(job, 1);
    this.checkPlace(task, id, job, machine);
    this.checkQuota(job);
    this.checkTime(task, id, job, now);
  }

  private checkPlace(task: TaskId, id: JobId, job: Accepted, machine: Machine): void {
    if (job.hall !== null && job.hall !== machine.zone) {
      this.breach(`wrong_place: ${task} in ${machine.zone}`);
    }
    if (job.flavours !== null && !job.flavours.includes(machine.type)) {
      this.breach(`wrong_place: ${task} on a machine of type ${machine.type}`);
    }
    if (machine.spot && !job.reclaimable) this.breach(`wrong_place: ${task} on a spot machine`);
    if (!job.samePlace && !job.apart) return;
    const zones = [...this.on].filter(([other]) => parseTaskId(other)?.job === id).map(([, m]) => m.zone);
    if (job.samePlace && new Set(zones).size > 1) this.breach(`wrong_place: ${id} in several zones`);
    const here = zones.filter((zone) => zone === machine.zone).length;
    if (job.apart && here > Math.ceil(job.shards / 2)) {
      this.breach(`wrong_place: ${here} tasks of ${id} in ${machine.zone}`);
    }
  }

  private checkQuota({ owner, limit }: Accepted): void {
    const used = this.used.get(owner) ?? 0;
    if (limit !== null && used > limit) this.breach(`quota: ${owner} uses ${used} of ${limit}`);
  }

  private checkTime(task: TaskId, id: JobId, job: Accepted, now: number): void {
    const limit = this.cancelledBy.get(id);
    if (limit !== undefined && now > limit) this.breach(`ran_cancelled: ${task} starts`);
    for (const ref of job.awaits) {
      const needed = this.jobs.get(ref as JobId)?.shards ?? 0;
      if ((this.doneOf.get(ref) ?? 0) < needed) this.breach(`too_early: ${task} before ${ref} is done`);
    }
  }

  private use(job: Accepted, tasks: number): void {
    this.used.set(job.owner, (this.used.get(job.owner) ?? 0) + tasks * job.cpus);
  }

  left(task: TaskId, host: MachineId, done: boolean): void {
    if (this.on.get(task)?.id === host) {
      this.on.delete(task);
      const job = this.jobs.get(parseTaskId(task)?.job as JobId);
      if (job) this.use(job, -1);
    }
    if (!done || this.done.has(task)) return;
    this.done.add(task);
    const ref = parseTaskId(task)?.job as string;
    this.doneOf.set(ref, (this.doneOf.get(ref) ?? 0) + 1);
  }

  /** How a job ended before the day began. */
  endedBefore(id: JobId, done: boolean): void {
    if (done) this.doneOf.set(id, this.jobs.get(id)?.shards ?? 0);
    else this.asked.add(id);
  }

  cancelAsked(id: string): void {
    this.asked.add(id);
  }

  /** All jobs that it needs, directly or through others. */
  private above(id: string): Set<string> {
    const found = new Set<string>();
    const next = [...(this.jobs.get(id as JobId)?.awaits ?? [])];
    for (let ref = next.pop(); ref !== undefined; ref = next.pop()) {
      if (found.has(ref)) continue;
      found.add(ref);
      next.push(...(this.jobs.get(ref as JobId)?.awaits ?? []));
    }
    return found;
  }

  cancelled(id: JobId, limit: number): void {
    if (!this.cancelledBy.has(id)) this.cancelledBy.set(id, limit);
  }

  checkCancelled(now: number): void {
    for (const [id, limit] of this.cancelledBy) {
      if (now > limit && this.count((t) => parseTaskId(t)?.job === id) > 0) {
        this.breach(`ran_cancelled: ${id} is still on a machine`);
      }
    }
  }

  /** `askedAt`: an answer may only be as old as the question; what was told in between is no breach. */
  told(id: JobId, state: string, now: number, askedAt = now): void {
    const before = this.told_.get(id);
    const final = before?.state === 'done' || before?.state === 'cancelled';
    this.checkKnown(id, state, askedAt);
    if (before && final && before.at <= askedAt && state !== before.state) {
      this.breach(`went_back: ${id} from ${before.state} to ${state}`);
    }
    if (state === 'pending' || state === 'running') this.checkOrphan(id, state, askedAt);
    if (state === 'cancelled') this.checkAsked(id);
    if (state === 'done') this.checkDone(id);
    if (!final) this.told_.set(id, { state, at: now });
  }

  private checkKnown(id: JobId, state: string, askedAt: number): void {
    const acceptedAt = this.known.get(id) ?? Infinity;
    if (state === '404' && acceptedAt <= askedAt) this.breach(`forgotten: ${id}`);
    if (state !== '404' && !this.jobs.has(id)) this.breach(`invented: ${id}`);
  }

  private checkOrphan(id: JobId, state: string, now: number): void {
    const late = [...this.above(id)].find((ref) => now > (this.cancelledBy.get(ref as JobId) ?? Infinity));
    if (late) this.breach(`orphaned: ${id} is called ${state}, ${late} is cancelled`);
  }

  private checkAsked(id: JobId): void {
    if ([id, ...this.above(id)].some((ref) => this.asked.has(ref))) return;
    this.breach(`went_back: ${id} is called cancelled, and nobody asked for that`);
  }

  private checkDone(id: JobId): void {
    const job = this.jobs.get(id);
    const finished = this.doneOf.get(id) ?? 0;
    if (job && finished < job.shards) this.breach(`not_done: ${id}, ${finished} of ${job.shards}`);
  }
}
