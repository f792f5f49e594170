/** The order in which jobs are served, and the remaining quota of a team. */
import type { JobId, TeamId } from '../model/ids.js';
import { type JobSpec, Priority } from '../model/job.js';
import type { Team } from '../model/team.js';
import type { WallTime } from '../model/time.js';
import type { JobView } from './snapshot.js';
import type { TeamUsage } from './team-usage.js';

/** Tolerance for rounding errors in sums of fractional CPUs or GPUs. */
const QUOTA_EPSILON = 1e-9;

/**
 * Ranks of production and starving jobs, above the ranks of all other jobs (priority times two, plus one within the
 * guaranteed quota).
 */
const PRODUCTION_RANK = 10;
const STARVING_RANK = 9;

/**
 * Returns the jobs that fit into their team's guaranteed quota together with all of the team's jobs that were ready
 * earlier.
 */
export function guaranteedJobs(
  jobs: Iterable<{ readonly spec: JobSpec; readonly readyAt: WallTime }>,
  teams: ReadonlyMap<TeamId, Team>,
): Set<JobId> {
  const demandByTeam = new Map<TeamId, TeamUsage>();
  const guaranteed = new Set<JobId>();
  for (const { spec } of [...jobs].sort((left, right) => left.readyAt - right.readyAt)) {
    const team = teams.get(spec.team);
    if (!team) continue;
    const demand = demandByTeam.get(spec.team) ?? { cpus: 0, gpus: 0 };
    demand.cpus += spec.taskCount * spec.cpus;
    demand.gpus += spec.taskCount * spec.gpus;
    demandByTeam.set(spec.team, demand);
    if (demand.cpus <= team.cpus + QUOTA_EPSILON && demand.gpus <= team.gpus + QUOTA_EPSILON)
      guaranteed.add(spec.id);
  }
  return guaranteed;
}

/**
 * Sorts jobs in the order in which they are served: by rank (production work, starving jobs, then priority and
 * guaranteed quota), then least slack (jobs without slack, `slackMs` null, last), then the earliest time at which they
 * became ready.
 */
export function queueOrder(jobs: readonly JobView[], guaranteed: ReadonlySet<JobId>): JobView[] {
  const rankOf = ({ spec, isStarving }: JobView): number => {
    if (spec.priority === Priority.Production) return PRODUCTION_RANK;
    if (isStarving) return STARVING_RANK;
    return spec.priority * 2 + (guaranteed.has(spec.id) ? 1 : 0);
  };
  return jobs
    .map((job) => ({ job, rank: rankOf(job), slackMs: job.slackMs ?? Infinity }))
    .sort((left, right) => {
      if (left.rank !== right.rank) return right.rank - left.rank;
      if (left.slackMs !== right.slackMs) return left.slackMs - right.slackMs;
      return left.job.readyAt - right.job.readyAt;
    })
    .map(({ job }) => job);
}

/**
 * Returns how many more tasks of the job the quota limit of its team allows; `Infinity`: the team has no limit for the
 * resources that the job requests.
 */
export function remainingQuota(team: Team, usage: TeamUsage, spec: JobSpec): number {
  let remaining = Infinity;
  if (team.cpusMax !== null && spec.cpus > 0) {
    remaining = Math.floor((team.cpusMax - usage.cpus + QUOTA_EPSILON) / spec.cpus);
  }
  if (team.gpusMax !== null && spec.gpus > 0) {
    remaining = Math.min(remaining, Math.floor((team.gpusMax - usage.gpus + QUOTA_EPSILON) / spec.gpus));
  }
  return Math.max(0, remaining);
}
