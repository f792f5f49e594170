/** Who is served first, and how much: ranks, guarantees and limits. */
import type { JobId, TeamId } from '../model/ids.js';
import { type JobSpec, Priority } from '../model/job.js';
import type { Team } from '../model/team.js';
import type { WallTime } from '../model/time.js';
import type { TeamUsage } from './team-usage.js';
import type { JobView } from './snapshot.js';

/** Jobs that fit into their team's guarantee together with the team's earlier unfinished jobs that may start. */
export function guaranteedJobs(
  jobs: Iterable<{ readonly spec: JobSpec; readonly readyAt: WallTime }>,
  teams: ReadonlyMap<TeamId, Team>,
): Set<JobId> {
  const sums = new Map<TeamId, TeamUsage>();
  const inside = new Set<JobId>();
  for (const job of [...jobs].sort((a, b) => a.readyAt - b.readyAt)) {
    const team = teams.get(job.spec.team);
    if (!team) continue;
    const sum = sums.get(job.spec.team) ?? { cpus: 0, gpus: 0 };
    const tasks = job.spec.taskCount;
    sum.cpus += tasks * job.spec.cpus;
    sum.gpus += tasks * job.spec.gpus;
    sums.set(job.spec.team, sum);
    if (sum.cpus <= team.cpus + 1e-9 && sum.gpus <= team.gpus + 1e-9) inside.add(job.spec.id);
  }
  return inside;
}

/** Who is served first: rank, guarantee, then what has least time left. */
export function queueOrder(jobs: readonly JobView[], guaranteed: ReadonlySet<JobId>): JobView[] {
  const rank = (j: JobView): number => {
    if (j.spec.priority === Priority.Production) return 10;
    if (j.isStarving) return 9;
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

/** How many more tasks of the job its team's limit allows. */
export function remainingQuota(team: Team, use: TeamUsage, spec: JobSpec): number {
  const eps = 1e-9;
  let room = Infinity;
  if (team.cpusMax !== null && spec.cpus > 0) room = Math.floor((team.cpusMax - use.cpus + eps) / spec.cpus);
  if (team.gpusMax !== null && spec.gpus > 0) {
    room = Math.min(room, Math.floor((team.gpusMax - use.gpus + eps) / spec.gpus));
  }
  return Math.max(0, room);
}
