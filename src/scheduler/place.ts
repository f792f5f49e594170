import type { HostId, ImageId, JobId, TaskId, TeamId, TypeId, ZoneId } from '../model/ids.js';
import { fits, give, type JobSpec, Priority, type Resources, type Room, take } from '../model/job.js';
import type { Team } from '../model/team.js';
import type { WallTime } from '../model/time.js';
import type { TeamUse } from './job-store.js';

/** Pure: a snapshot in, decisions out. */
export interface MachineView {
  readonly id: HostId;
  readonly type: TypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
  readonly cpus: number;
  readonly free: Room;
  readonly images: { has(image: ImageId): boolean };
  /** Orders reach it directly. */
  readonly reachable: boolean;
}

/** A task on a machine, as a candidate to be stopped. */
export interface Victim extends Resources {
  readonly task: TaskId;
  readonly job: JobId;
  readonly team: TeamId;
  readonly priority: Priority;
  /** Work that stopping it would lose. */
  readonly lostMs: number;
}

export interface JobView {
  readonly spec: JobSpec;
  /** From when it could have started. */
  readonly readyAt: WallTime;
  /** How long ago that is. */
  readonly waitedMs: number;
  waiting: number;
  /** Tasks that may be on a machine, by zone. */
  readonly zones: Map<ZoneId, number>;
  readonly avoid: ReadonlySet<HostId>;
  readonly heldBack: boolean;
  /** How long it may still wait; null: no target is left. */
  readonly slackMs: number | null;
  /** It has waited so long without a start that it goes before all but production work. */
  readonly starving: boolean;
}

export interface Start {
  readonly job: JobId;
  readonly host: HostId;
}

export interface Stop {
  readonly host: HostId;
  readonly task: TaskId;
  /** The job that room is made for. */
  readonly for: JobId;
}

export interface Plan {
  readonly starts: Start[];
  readonly stops: Stop[];
  /** Waiting jobs that found no room, with how many tasks each, in queue order. */
  readonly unmet: { job: JobView; tasks: number }[];
}

/** What a decision looks at. */
export interface Snapshot {
  /** Jobs with tasks that wait. */
  readonly jobs: readonly JobView[];
  /** Machines that take work: each is looked at only while it has room. */
  readonly machines: readonly MachineView[];
  /** Every unfinished job that fits into its team's guarantee (`guaranteedJobs`). */
  readonly guaranteed: ReadonlySet<JobId>;
  readonly teams: ReadonlyMap<TeamId, Team>;
  readonly use: ReadonlyMap<TeamId, TeamUse>;
  /** Tasks of a machine that could be stopped, cheapest loss first. Asked only to make room. */
  victimsOf(id: HostId): Victim[];
}

/** Jobs that fit into their team's guarantee together with the team's earlier unfinished jobs that may start. */
export function guaranteedJobs(
  jobs: Iterable<{ readonly spec: JobSpec; readonly readyAt: WallTime }>,
  teams: ReadonlyMap<TeamId, Team>,
): Set<JobId> {
  const sums = new Map<TeamId, TeamUse>();
  const inside = new Set<JobId>();
  for (const job of [...jobs].sort((a, b) => a.readyAt - b.readyAt)) {
    const team = teams.get(job.spec.team);
    if (!team) continue;
    const sum = sums.get(job.spec.team) ?? { cpus: 0, gpus: 0 };
    const tasks = job.spec.tasks;
    sum.cpus += tasks * job.spec.cpus;
    sum.gpus += tasks * job.spec.gpus;
    sums.set(job.spec.team, sum);
    if (sum.cpus <= team.cpus + 1e-9 && sum.gpus <= team.gpus + 1e-9) inside.add(job.spec.id);
  }
  return inside;
}

export function queueOrder(jobs: readonly JobView[], guaranteed: ReadonlySet<JobId>): JobView[] {
  const rank = (j: JobView): number => {
    if (j.spec.priority === Priority.Production) return 10;
    if (j.starving) return 9;
    return j.spec.priority * 2 + (guaranteed.has(j.spec.id) ? 1 : 0);
  };
  const slack = (j: JobView): number => j.slackMs ?? Infinity;
  return jobs
    .map((j) => ({ j, r: rank(j), s: slack(j) }))
    .sort((a, b) => {
      if (a.r !== b.r) return b.r - a.r;
      if (a.s !== b.s) return a.s - b.s;
      return a.j.readyAt - b.j.readyAt;
    })
    .map((x) => x.j);
}

export function allowed(spec: JobSpec, m: { type: TypeId; zone: ZoneId; spot: boolean }): boolean {
  if (m.spot && !spec.spot) return false;
  if (spec.zone !== null && spec.zone !== m.zone) return false;
  return spec.types === null || spec.types.includes(m.type);
}

/** Whether one more task of the job may go to the zone, given its tasks that may be on machines. */
export function zoneAllows(job: Pick<JobView, 'spec' | 'zones'>, zone: ZoneId): boolean {
  const { spec, zones } = job;
  if (spec.oneZone) for (const [z, n] of zones) if (n > 0 && z !== zone) return false;
  if (spec.spread && (zones.get(zone) ?? 0) + 1 > Math.ceil(spec.tasks / 2)) return false;
  return true;
}

export function teamRoom(team: Team, use: TeamUse, spec: JobSpec): number {
  const eps = 1e-9;
  let room = Infinity;
  if (team.cpusMax !== null && spec.cpus > 0) room = Math.floor((team.cpusMax - use.cpus + eps) / spec.cpus);
  if (team.gpusMax !== null && spec.gpus > 0) {
    room = Math.min(room, Math.floor((team.gpusMax - use.gpus + eps) / spec.gpus));
  }
  return Math.max(0, room);
}

/** The part of a starving job's tasks that may go ahead of other work. */
const STARVING_SHARE = 0.25;

interface Place {
  readonly m: MachineView;
  /** Its free CPUs when the shelf was last put in order. */
  free: number;
}

const byId = (a: MachineView, b: MachineView): number => (a.id < b.id ? -1 : 1);
const reach = (m: MachineView): number => (m.reachable ? 0 : 1);

/**
 * The order in which first-fit looks at machines (ours): reachable ones first; spot ones for work
 * that may use them; then, for such work, the fuller ones, so that whole machines become idle and
 * can be given back, and of equally full ones those that have the image. Other work looks for its
 * image first, then for small machines: replicas stay long, and must not keep a big one.
 *
 * One shelf serves all jobs of a decision. It holds machines with room only; between two jobs few
 * of them have moved, and sorting what is nearly in order costs little more than reading it.
 */
class Shelf {
  private places: Place[];
  private sorted = false;

  constructor(
    machines: readonly MachineView[],
    private readonly forSpot: boolean,
    private readonly least: Resources,
  ) {
    this.places = machines
      .filter((m) => (forSpot || !m.spot) && fits(least, m.free))
      .map((m) => ({ m, free: m.free.cpus }));
  }

  /** Something was placed: the order is looked at again before the next job. */
  touch(): void {
    this.sorted = false;
  }

  /** Room was made on a machine that may have had none. */
  reopen(m: MachineView): void {
    if ((this.forSpot || !m.spot) && !this.places.some((p) => p.m === m)) {
      this.places.push({ m, free: m.free.cpus });
    }
    this.sorted = false;
  }

  private settle(): void {
    if (this.sorted) return;
    this.sorted = true;
    this.places = this.places.filter((p) => fits(this.least, p.m.free));
    for (const p of this.places) p.free = p.m.free.cpus;
    const spot = (m: MachineView): number => (m.spot ? 0 : 1);
    this.places.sort(
      this.forSpot
        ? (a, b) => reach(a.m) - reach(b.m) || spot(a.m) - spot(b.m) || a.free - b.free || byId(a.m, b.m)
        : (a, b) => reach(a.m) - reach(b.m) || a.m.cpus - b.m.cpus || a.free - b.free || byId(a.m, b.m),
    );
  }

  /** Machines for a job in first-fit order; within a group those with its image come first. */
  *inOrder(image: ImageId): Generator<MachineView> {
    this.settle();
    const { places } = this;
    const alike = (a: Place, b: Place): boolean =>
      a.m.reachable === b.m.reachable && (!this.forSpot || (a.m.spot === b.m.spot && a.free === b.free));
    for (let from = 0; from < places.length;) {
      const first = places[from] as Place;
      let to = from + 1;
      while (to < places.length && alike(first, places[to] as Place)) to++;
      const bare: MachineView[] = [];
      for (let i = from; i < to; i++) {
        const { m } = places[i] as Place;
        if (m.images.has(image)) yield m;
        else bare.push(m);
      }
      yield* bare;
      from = to;
    }
  }
}

/** What a stopped task loses besides its work: its next start, mostly with its image. */
const RESTART_MS = 3000;
/**
 * Urgent work is mostly a stage of something that others wait for: one task that starts again delays all of
 * it. Its loss counts so many times.
 */
const URGENT_LOSS = 8;

function lossOf(victim: Victim): number {
  const weight = victim.priority >= Priority.High ? URGENT_LOSS : 1;
  return (victim.lostMs + RESTART_MS) * victim.cpus * weight;
}

/**
 * A job within its team's guarantee first waits this long for room that comes free by itself: on a full fleet
 * that is thousands of tasks a minute, and each one that is stopped loses its work.
 */
const GUARANTEE_AFTER_MS = 1000;

/**
 * Who may be stopped for a job (PROTOCOL, "Preemption"): lower priorities for production work;
 * for a team's guarantee, what other teams run beyond theirs.
 */
function mayStop(job: JobView, guaranteed: ReadonlySet<JobId>): ((v: Victim) => boolean) | null {
  const { spec } = job;
  const production = spec.priority === Priority.Production;
  const within = guaranteed.has(spec.id) && job.waitedMs >= GUARANTEE_AFTER_MS;
  if (!production && !within) return null;
  return (v) =>
    (production && v.priority < spec.priority) ||
    (within && v.team !== spec.team && v.priority < Priority.Production && !guaranteed.has(v.job));
}

interface Offer {
  readonly m: MachineView;
  /** What could be stopped there, and the part of it that would be. */
  readonly from: Victim[];
  readonly victims: readonly Victim[];
  /** Work that making this room would lose. */
  readonly lost: number;
}

/** Fewest-loss victims whose stopping lets the task fit; null: not even all of them would do. */
function offerOf(spec: JobSpec, m: MachineView, from: Victim[], may: (v: Victim) => boolean): Offer | null {
  const free = { ...m.free };
  const victims: Victim[] = [];
  for (const v of from) {
    if (fits(spec, free)) break;
    if (!may(v)) continue;
    give(free, v);
    victims.push(v);
  }
  if (!fits(spec, free)) return null;
  return { m, from, victims, lost: victims.reduce((sum, victim) => sum + lossOf(victim), 0) };
}

/** One decision over one snapshot. */
class Placing {
  readonly plan: Plan = { starts: [], stops: [], unmet: [] };
  private readonly used = new Map<TeamId, TeamUse>();
  private readonly shelves: Record<'spot' | 'firm', Shelf>;
  private stoppable: { m: MachineView; victims: Victim[] }[] | null = null;

  constructor(private readonly now: Snapshot) {
    for (const [team, u] of now.use) this.used.set(team, { ...u });
    const least = smallest(now.jobs);
    this.shelves = {
      spot: new Shelf(now.machines, true, least),
      firm: new Shelf(now.machines, false, least),
    };
  }

  place(job: JobView): void {
    const { spec } = job;
    const team = this.now.teams.get(spec.team);
    if (!team || job.waiting === 0 || job.heldBack) return;
    const mine = this.used.get(spec.team) ?? { cpus: 0, gpus: 0 };
    this.used.set(spec.team, mine);
    let open = Math.min(job.waiting, teamRoom(team, mine, spec));
    // A starving job goes first with a part of its tasks only: it begins, and the others go on.
    if (job.starving) open = Math.min(open, Math.ceil(spec.tasks * STARVING_SHARE));
    // A replica starts at once only where its image is: making room there beats a fetch elsewhere.
    if (spec.priority === Priority.Production) {
      const warm = (m: MachineView): boolean => m.images.has(spec.image);
      open = this.firstFit(job, mine, open, warm);
      open = this.makeRoom(job, mine, open, warm);
    }
    open = this.firstFit(job, mine, open, () => true);
    open = this.makeRoom(job, mine, open, () => true);
    if (open > 0) this.plan.unmet.push({ job, tasks: Math.min(job.waiting, teamRoom(team, mine, spec)) });
  }

  private start(job: JobView, mine: TeamUse, m: MachineView): void {
    const { spec } = job;
    this.plan.starts.push({ job: spec.id, host: m.id });
    take(m.free, spec);
    mine.cpus += spec.cpus;
    mine.gpus += spec.gpus;
    job.zones.set(m.zone, (job.zones.get(m.zone) ?? 0) + 1);
    job.waiting--;
    this.shelves.spot.touch();
    this.shelves.firm.touch();
  }

  private firstFit(job: JobView, mine: TeamUse, open: number, which: (m: MachineView) => boolean): number {
    if (open <= 0) return open;
    const { spec } = job;
    for (const m of this.shelves[spec.spot ? 'spot' : 'firm'].inOrder(spec.image)) {
      if (!which(m) || !allowed(spec, m) || job.avoid.has(m.id)) continue;
      while (open > 0 && fits(spec, m.free) && zoneAllows(job, m.zone)) {
        this.start(job, mine, m);
        open--;
      }
      if (open === 0) break;
    }
    return open;
  }

  /** Machines with tasks that could be stopped, looked up once. */
  private candidates(): { m: MachineView; victims: Victim[] }[] {
    this.stoppable ??= this.now.machines
      .filter((m) => m.reachable)
      .map((m) => ({ m, victims: this.now.victimsOf(m.id) }))
      .filter((c) => c.victims.length > 0);
    return this.stoppable;
  }

  /** Room is made where it costs least work, one task at a time. */
  private makeRoom(job: JobView, mine: TeamUse, open: number, which: (m: MachineView) => boolean): number {
    const may = open > 0 ? mayStop(job, this.now.guaranteed) : null;
    if (!may) return open;
    const offers: Offer[] = [];
    for (const { m, victims } of this.candidates()) {
      if (!which(m) || !allowed(job.spec, m) || job.avoid.has(m.id)) continue;
      const offer = offerOf(job.spec, m, victims, may);
      if (offer) offers.push(offer);
    }
    while (open > 0) {
      let best = -1;
      offers.forEach((o, i) => {
        if (!zoneAllows(job, o.m.zone)) return;
        const before = offers[best];
        if (!before || o.lost < before.lost) best = i;
      });
      const offer = offers[best];
      if (!offer) break;
      const { m, from } = offer;
      for (const v of offer.victims) {
        this.plan.stops.push({ host: m.id, task: v.task, for: job.spec.id });
        from.splice(from.indexOf(v), 1);
        give(m.free, v);
      }
      this.start(job, mine, m);
      this.shelves.spot.reopen(m);
      this.shelves.firm.reopen(m);
      open--;
      const again = offerOf(job.spec, m, from, may);
      if (again) offers[best] = again;
      else offers.splice(best, 1);
    }
    return open;
  }
}

/** What a machine must have left to be worth a look for any of the jobs. */
function smallest(jobs: readonly JobView[]): Resources {
  const least = { cpus: Infinity, gpus: Infinity, memoryGb: Infinity };
  for (const { spec } of jobs) {
    least.cpus = Math.min(least.cpus, spec.cpus);
    least.gpus = Math.min(least.gpus, spec.gpus);
    least.memoryGb = Math.min(least.memoryGb, spec.memoryGb);
  }
  return least;
}

export function place(now: Snapshot): Plan {
  const placing = new Placing(now);
  for (const job of queueOrder(now.jobs, now.guaranteed)) placing.place(job);
  return placing.plan;
}
