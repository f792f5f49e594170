import type { HostId, ImageId, JobId, TaskId, TeamId, TypeId, ZoneId } from '../model/ids.js';
import { fits, give, type JobSpec, Priority, type Resources, type Room, take } from '../model/job.js';
import type { Team } from '../model/team.js';
import type { WallTime } from '../model/time.js';
import type { TeamUse } from './job-book.js';

/** Pure: a snapshot in, decisions out. */
export interface MachineView {
  readonly id: HostId;
  readonly type: TypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
  readonly cpus: number;
  readonly free: Room;
  readonly images: ReadonlySet<ImageId>;
  /** Tasks that could be stopped to make room, cheapest loss first. */
  readonly victims: Victim[];
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
  readonly acceptedAt: WallTime;
  waiting: number;
  /** Tasks that may be on a machine, by zone. */
  readonly zones: Map<ZoneId, number>;
  readonly avoid: ReadonlySet<HostId>;
  readonly heldBack: boolean;
  /** How long it may still wait; null: no target is left. */
  readonly slackMs: number | null;
}

export interface Start {
  readonly job: JobId;
  readonly host: HostId;
}

export interface Stop {
  readonly host: HostId;
  readonly task: TaskId;
}

export interface Plan {
  readonly starts: Start[];
  readonly stops: Stop[];
  /** Waiting jobs that found no room, with how many tasks each, in queue order. */
  readonly unmet: { job: JobView; tasks: number }[];
  readonly guaranteed: ReadonlySet<JobId>;
}

/** Jobs that fit into their team's guarantee together with the team's earlier unfinished jobs. */
export function guaranteedJobs(jobs: readonly JobView[], teams: ReadonlyMap<TeamId, Team>): Set<JobId> {
  const sums = new Map<TeamId, TeamUse>();
  const inside = new Set<JobId>();
  for (const job of [...jobs].sort((a, b) => a.acceptedAt - b.acceptedAt)) {
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
  const rank = (j: JobView): number =>
    j.spec.priority === Priority.Production ? 10 : j.spec.priority * 2 + (guaranteed.has(j.spec.id) ? 1 : 0);
  const slack = (j: JobView): number => j.slackMs ?? Infinity;
  return [...jobs].sort((a, b) => {
    if (rank(a) !== rank(b)) return rank(b) - rank(a);
    if (slack(a) !== slack(b)) return slack(a) - slack(b);
    return a.acceptedAt - b.acceptedAt;
  });
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

/**
 * The order in which first-fit looks at machines for a job (ours): reachable ones first; spot ones
 * for work that may use them; the image already there; then the fuller ones, so that whole
 * machines become idle and can be given back.
 */
function machineOrder(spec: JobSpec, machines: readonly MachineView[]): MachineView[] {
  const score = (m: MachineView): number =>
    (m.reachable ? 0 : 8) + (spec.spot ? (m.spot ? 0 : 2) : m.images.has(spec.image) ? 0 : 4);
  const image = (m: MachineView): number => (m.images.has(spec.image) ? 0 : 1);
  const scored = machines.filter((m) => allowed(spec, m)).map((m) => ({ m, s: score(m) }));
  // Replicas stay long: on small machines they do not keep a big one from going back.
  const size = (m: MachineView): number => (spec.spot ? 0 : m.cpus);
  scored.sort(
    (a, b) =>
      a.s - b.s ||
      size(a.m) - size(b.m) ||
      a.m.free.cpus - b.m.free.cpus ||
      image(a.m) - image(b.m) ||
      (a.m.id < b.m.id ? -1 : 1),
  );
  return scored.map((x) => x.m);
}

/** Fewest-loss victims whose stopping lets the task fit; null: not even all of them would do. */
function victimsFor(spec: JobSpec, m: MachineView, may: (v: Victim) => boolean): Victim[] | null {
  const free = { ...m.free };
  const chosen: Victim[] = [];
  for (const v of m.victims) {
    if (fits(spec, free)) break;
    if (!may(v)) continue;
    give(free, v);
    chosen.push(v);
  }
  return fits(spec, free) ? chosen : null;
}

/**
 * Who may be stopped for a job (PROTOCOL, "Preemption"): lower priorities for production work;
 * for a team's guarantee, what other teams run beyond theirs.
 */
function mayStop(job: JobView, guaranteed: ReadonlySet<JobId>): ((v: Victim) => boolean) | null {
  const { spec } = job;
  const production = spec.priority === Priority.Production;
  const within = guaranteed.has(spec.id);
  if (!production && !within) return null;
  return (v) =>
    (production && v.priority < spec.priority) ||
    (within && v.team !== spec.team && v.priority < Priority.Production && !guaranteed.has(v.job));
}

export function place(
  jobs: readonly JobView[],
  machines: readonly MachineView[],
  teams: ReadonlyMap<TeamId, Team>,
  use: ReadonlyMap<TeamId, TeamUse>,
): Plan {
  const guaranteed = guaranteedJobs(jobs, teams);
  const plan: Plan = { starts: [], stops: [], unmet: [], guaranteed };
  const used = new Map<TeamId, TeamUse>();
  for (const [team, u] of use) used.set(team, { ...u });

  for (const job of queueOrder(jobs, guaranteed)) {
    if (job.waiting === 0 || job.heldBack) continue;
    const { spec } = job;
    const team = teams.get(spec.team);
    if (!team) continue;
    const mine = used.get(spec.team) ?? { cpus: 0, gpus: 0 };
    used.set(spec.team, mine);
    let left = Math.min(job.waiting, teamRoom(team, mine, spec));
    const order = machineOrder(spec, machines).filter((m) => !job.avoid.has(m.id));
    const start = (m: MachineView): void => {
      plan.starts.push({ job: spec.id, host: m.id });
      take(m.free, spec);
      mine.cpus += spec.cpus;
      mine.gpus += spec.gpus;
      job.zones.set(m.zone, (job.zones.get(m.zone) ?? 0) + 1);
      job.waiting--;
      left--;
    };
    const firstFit = (among: readonly MachineView[]): void => {
      for (const m of among) {
        while (left > 0 && fits(spec, m.free) && zoneAllows(job, m.zone)) start(m);
      }
    };
    const may = mayStop(job, guaranteed);
    const makeRoom = (among: readonly MachineView[]): void => {
      while (left > 0 && may) {
        const cheapest = cheapestRoom(job, among, may);
        if (!cheapest) return;
        const { m, victims } = cheapest;
        for (const v of victims) {
          plan.stops.push({ host: m.id, task: v.task });
          m.victims.splice(m.victims.indexOf(v), 1);
          give(m.free, v);
        }
        start(m);
      }
    };
    // A replica starts at once only where its image is: making room there beats a fetch elsewhere.
    const warm = spec.priority === Priority.Production ? order.filter((m) => m.images.has(spec.image)) : [];
    firstFit(warm);
    makeRoom(warm);
    firstFit(order);
    makeRoom(order);
    if (left > 0) plan.unmet.push({ job, tasks: left });
  }
  return plan;
}

function cheapestRoom(
  job: JobView,
  among: readonly MachineView[],
  may: (v: Victim) => boolean,
): { m: MachineView; victims: Victim[] } | null {
  let best: { m: MachineView; victims: Victim[]; lost: number } | null = null;
  for (const m of among) {
    if (!m.reachable || !zoneAllows(job, m.zone)) continue;
    const victims = victimsFor(job.spec, m, may);
    if (!victims) continue;
    const lost = victims.reduce((sum, v) => sum + v.lostMs * v.cpus, 0);
    if (!best || lost < best.lost) best = { m, victims, lost };
  }
  return best;
}
