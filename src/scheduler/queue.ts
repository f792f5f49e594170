import type { JobId } from '../model/ids.js';
import { Priority } from '../model/job.js';
import type { JobView } from './place.js';

/**
 * The order in which waiting jobs look for room: by rank, within a rank what is guaranteed first,
 * then so that as few jobs as possible miss their target.
 */
export function queueOrder(
  jobs: readonly JobView[],
  guaranteed: ReadonlySet<JobId>,
  cpus: number,
): JobView[] {
  const rank = (j: JobView): number =>
    j.spec.priority === Priority.Production ? 10 : j.spec.priority * 2 + (guaranteed.has(j.spec.id) ? 1 : 0);
  const ranks = new Map<number, JobView[]>();
  for (const job of jobs) {
    if (job.waiting === 0) continue;
    const r = rank(job);
    ranks.set(r, [...(ranks.get(r) ?? []), job]);
  }
  return [...ranks.keys()].sort((a, b) => b - a).flatMap((r) => fewestLate(ranks.get(r) ?? [], cpus));
}

/**
 * The least slack first, as long as all can be in time. Where that fails, the largest job so far is
 * put off: under overload the least-slack order alone would make every job late in turn
 * (Moore and Hodgson's rule for the fewest late jobs). Jobs without a target left come by age.
 */
function fewestLate(jobs: readonly JobView[], cpus: number): JobView[] {
  const age = (a: JobView, b: JobView): number => a.acceptedAt - b.acceptedAt;
  const timely = jobs
    .filter((j) => j.slackMs !== null)
    .sort((a, b) => (a.slackMs ?? 0) - (b.slackMs ?? 0) || age(a, b));
  const hopeless = jobs.filter((j) => j.slackMs === null).sort(age);
  const rate = Math.max(1, cpus);
  const size = (j: JobView): number => (j.waiting * j.runMs * j.spec.cpus) / rate;
  const kept: JobView[] = [];
  const putOff: JobView[] = [];
  let ahead = 0;
  for (const job of timely) {
    kept.push(job);
    ahead += size(job);
    while (kept.length > 0 && ahead > (job.slackMs ?? 0) + job.runMs) {
      const largest = kept.reduce((a, b) => (size(b) > size(a) ? b : a));
      kept.splice(kept.indexOf(largest), 1);
      putOff.push(largest);
      ahead -= size(largest);
    }
  }
  putOff.sort((a, b) => size(a) - size(b));
  return [...kept, ...putOff, ...hopeless];
}
