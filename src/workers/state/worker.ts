import {
  type Counter,
  type Epoch,
  type HostId,
  type ImageId,
  type JobId,
  LAST_ROUND,
  type MemberId,
  type Round,
  type TaskId,
  type SessionNumber,
  type Token,
  tokenOf,
  type TryNo,
} from '../../model/ids.js';
import { type Resources, type Room, take } from '../../model/job.js';
import type { MachineType } from '../../model/machine.js';
import type { ConfirmedFacts, MachineFacts, UnconfirmedFacts } from '../../model/machine-facts.js';
import type { Attempt, Report } from '../../model/heartbeat.js';
import { type Steady, plus } from '../../model/time.js';
import type { Chunk } from '../../scheduler/chunk.js';
import type { Task } from '../../scheduler/task.js';

const NO_RESOURCES: Resources = { cpus: 0, gpus: 0, memoryGb: 0 };

/** An attempt that has ended and that the host still shows. */
export interface EndedAttempt {
  readonly task: TaskId;
  readonly tryNo: TryNo;
  /** The outcome is durable once this chunk has reached `version`; null: nothing waits to be written. */
  readonly chunk: Chunk | null;
  readonly version: number;
  /** A run order with this token, or a copy of it, may still arrive; null: only with earlier epochs' ones. */
  readonly sentToken: Token | null;
}

/** A machine that may exist, with the tasks that may be on it. */
export class Host {
  address = '';
  /** Heard under our epoch. */
  known = false;
  up = false;
  /** Most machines are in their first session: the first direct call then hits. */
  session = 1 as SessionNumber;
  counter = 0 as Counter;
  heardAt: Steady | null = null;
  /** When we first heard it under our epoch. */
  metAt: Steady | null = null;
  /** When the host last showed that something of ours had reached it. */
  contactAt: Steady | null = null;
  /** The last report that we answered, and the controller that it came through. */
  private answeredReport: { readonly via: MemberId; readonly counter: Counter } | null = null;
  /** When we last answered a report of this host: its lease may run from then. */
  answeredAt: Steady | null = null;
  /** When we first heard of its present session, which began before: its lease may run from then, too. */
  private sessionAt: Steady | null = null;
  /** When the cloud takes the machine, by its notice. */
  takenAt: Steady | null = null;
  /** Nothing more is placed here. */
  closed: 'sick' | 'emptying' | 'returning' | 'silent' | null = null;
  private readonly held = new Set<Task>();
  /** What is left of the machine; null: to be reckoned again. */
  private room: Room | null = null;
  readonly ended = new Map<string, EndedAttempt>();
  /** Attempts shown that nobody wants: killed at every chance. */
  strays: Attempt[] = [];
  /** Cached images, oldest use first. */
  readonly images = new Map<ImageId, number>();
  idleSince: Steady | null = null;
  /** Jobs whose tasks failed here since the last success. */
  readonly failedJobs = new Set<JobId>();
  failures = 0;
  probes = 0;
  probing = false;
  removing = false;
  /** The cloud's list shows it as running. */
  listed = false;
  /** Raised when run orders have to lose their force; see `clearsFor`. */
  private round = 0 as Round;
  /** Something that we count as being here can only be proven gone under a higher token. */
  doubted = false;
  commandInFlight = false;
  commandWanted = false;
  /** Direct calls that brought no answer in a row: orders then wait for reports. */
  unreachable = 0;
  /** The last of them. */
  failedAt: Steady | null = null;

  constructor(
    readonly id: HostId,
    private knownFacts: MachineFacts,
    readonly since: Steady,
  ) {}

  get facts(): MachineFacts {
    return this.knownFacts;
  }

  /** What placement may rest on; null: nothing yet. */
  get confirmed(): ConfirmedFacts | null {
    return this.knownFacts.state === 'confirmed' ? this.knownFacts : null;
  }

  /** What planning may rest on, confirmed or not. */
  get presumed(): ConfirmedFacts | UnconfirmedFacts | null {
    return this.knownFacts.state === 'unknown' ? null : this.knownFacts;
  }

  get type(): MachineType | null {
    return this.presumed?.type ?? null;
  }

  /** Somebody who knows has told what the machine is. */
  learn(facts: ConfirmedFacts): void {
    this.knownFacts = facts;
    this.room = null;
    for (const task of this.held) task.job.locate(task, facts.machine.zone);
  }

  /** Tasks that may be on the machine. */
  get tasks(): ReadonlySet<Task> {
    return this.held;
  }

  put(task: Task): void {
    this.held.add(task);
    task.job.locate(task, this.confirmed?.machine.zone ?? null);
    this.room = null;
  }

  drop(task: Task): void {
    this.held.delete(task);
    this.room = null;
  }

  get free(): Readonly<Room> {
    if (this.room) return this.room;
    const { cpus, gpus, memoryGb } = this.type ?? NO_RESOURCES;
    const free = { cpus, gpus, memoryGb };
    for (const task of this.held) take(free, task.job.spec);
    this.room = free;
    return free;
  }

  /** What orders to this host carry. */
  token(epoch: Epoch): Token {
    return tokenOf(epoch, this.round);
  }

  /** From the next answer on the worker refuses every order that left before. */
  raise(): boolean {
    if (this.round >= LAST_ROUND) return false;
    this.round = (this.round + 1) as Round;
    this.doubted = false;
    return true;
  }

  /**
   * A report that proves nothing yet, being of an earlier epoch, still tells the session to address.
   * True: it is another one than we thought.
   */
  learnSession(report: Report, now: Steady): boolean {
    if (this.known || report.session <= this.session) return false;
    this.beginSession(report.session, now);
    return true;
  }

  /**
   * A worker that got our answer stays with its controller, one that did not tries another. So a
   * report that follows the last one through the same controller, with no message between them,
   * shows that its answer arrived. Reports alone show nothing: a machine may be heard and not reached.
   */
  reported(report: Report, via: MemberId, now: Steady): void {
    const before = this.answeredReport;
    if (before && before.via === via && report.counter === before.counter + 1) this.contactAt = now;
  }

  answered(report: Report, via: MemberId, now: Steady): void {
    this.answeredAt = now;
    this.answeredReport = { via, counter: report.counter };
  }

  /** Direct calls fail, and no report has shown since that our answers arrive. */
  get unreached(): boolean {
    return this.unreachable > 0 && (this.contactAt === null || this.contactAt < (this.failedAt ?? 0));
  }

  newer(report: Report): boolean {
    return (
      report.session > this.session || (report.session === this.session && report.counter > this.counter)
    );
  }

  keepImage(image: ImageId, gb: number): void {
    this.images.delete(image);
    this.images.set(image, gb);
    let total = 0;
    for (const size of this.images.values()) total += size;
    for (const [old, size] of this.images) {
      if (total <= (this.type?.cacheGb ?? 0) || old === image) break;
      this.images.delete(old);
      total -= size;
    }
  }

  /** Whether the machine may hold a task that has not been proven gone. */
  get empty(): boolean {
    return this.held.size === 0;
  }

  get hasReplicas(): boolean {
    for (const task of this.held) if (task.job.spec.kind === 'service') return true;
    return false;
  }

  /** A session that we hear of for the first time. */
  beginSession(session: SessionNumber, now: Steady): void {
    this.session = session;
    this.sessionAt = now;
  }

  /**
   * Until then the worker may keep what it runs. A machine that reaches no controller goes through its sessions
   * unanswered, and runs what direct orders bring it in each.
   */
  leaseEnd(start: Steady, lease: number): Steady {
    const from = Math.max(start, this.answeredAt ?? start, this.sessionAt ?? start) as Steady;
    return plus(from, lease);
  }
}
