/** Places waiting tasks: first fit over an ordered list of machines, and room made where that is allowed. */
import type { TeamId } from '../model/ids.js';
import { fits, release, Priority, type Resources, allocate } from '../model/job.js';
import type { TeamUsage } from './team-usage.js';
import { mayStop, type Offer, offerOf } from './preemption.js';
import { machineRefusal, zoneRefusal } from './placement-rule.js';
import { queueOrder, remainingQuota } from './queue.js';
import { CandidateIndex } from './candidate-index.js';
import type { JobView, MachineView, PlacementPlan, PlacementSnapshot, Victim } from './snapshot.js';

/** The part of a starving job's tasks that may go ahead of other work. */
const STARVING_SHARE = 0.25;

/** One decision over one snapshot. */
class PlacementRound {
  readonly plan: PlacementPlan = { starts: [], preemptions: [], unmet: [] };
  private readonly used = new Map<TeamId, TeamUsage>();
  private readonly shelves: Record<'spot' | 'firm', CandidateIndex>;
  private stoppable: { m: MachineView; victims: Victim[] }[] | null = null;

  constructor(private readonly now: PlacementSnapshot) {
    for (const [team, u] of now.teamUsage) this.used.set(team, { ...u });
    const least = smallest(now.jobs);
    this.shelves = {
      spot: new CandidateIndex(now.machines, true, least),
      firm: new CandidateIndex(now.machines, false, least),
    };
  }

  place(job: JobView): void {
    const { spec } = job;
    const team = this.now.teams.get(spec.team);
    if (!team || job.waitingCount === 0 || job.isHeldBack) return;
    const mine = this.used.get(spec.team) ?? { cpus: 0, gpus: 0 };
    this.used.set(spec.team, mine);
    let open = Math.min(job.waitingCount, remainingQuota(team, mine, spec));
    // A starving job goes first with a part of its tasks only: it begins, and the others go on.
    if (job.isStarving) open = Math.min(open, Math.ceil(spec.taskCount * STARVING_SHARE));
    // A replica starts at once only where its image is: making room there beats a fetch elsewhere.
    if (spec.priority === Priority.Production) {
      const warm = (m: MachineView): boolean => m.images.has(spec.image);
      open = this.firstFit(job, mine, open, warm);
      open = this.makeRoom(job, mine, open, warm);
    }
    open = this.firstFit(job, mine, open, () => true);
    open = this.makeRoom(job, mine, open, () => true);
    if (open > 0)
      this.plan.unmet.push({ job, tasks: Math.min(job.waitingCount, remainingQuota(team, mine, spec)) });
  }

  private start(job: JobView, mine: TeamUsage, m: MachineView): void {
    const { spec } = job;
    this.plan.starts.push({ job: spec.id, machine: m.id });
    allocate(m.free, spec);
    mine.cpus += spec.cpus;
    mine.gpus += spec.gpus;
    job.zones.set(m.zone, (job.zones.get(m.zone) ?? 0) + 1);
    job.waitingCount--;
    this.shelves.spot.touch(m);
    this.shelves.firm.touch(m);
  }

  private firstFit(job: JobView, mine: TeamUsage, open: number, which: (m: MachineView) => boolean): number {
    if (open <= 0) return open;
    const { spec } = job;
    for (const m of this.shelves[spec.allowsSpot ? 'spot' : 'firm'].inOrder(spec.image)) {
      if (!which(m) || machineRefusal(spec, m) !== null || job.avoidedMachines.has(m.id)) continue;
      while (open > 0 && fits(spec, m.free) && zoneRefusal(spec, job.zones, m.zone) === null) {
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
      .filter((m) => m.isReachable)
      .map((m) => ({ m, victims: this.now.victimsOf(m.id) }))
      .filter((c) => c.victims.length > 0);
    return this.stoppable;
  }

  /** Room is made where it costs least work, one task at a time. */
  private makeRoom(job: JobView, mine: TeamUsage, open: number, which: (m: MachineView) => boolean): number {
    const may = open > 0 ? mayStop(job, this.now.guaranteed) : null;
    if (!may) return open;
    const offers: Offer[] = [];
    for (const { m, victims } of this.candidates()) {
      if (!which(m) || machineRefusal(job.spec, m) !== null || job.avoidedMachines.has(m.id)) continue;
      const offer = offerOf(job.spec, m, victims, may);
      if (offer) offers.push(offer);
    }
    while (open > 0) {
      let best = -1;
      offers.forEach((o, i) => {
        if (zoneRefusal(job.spec, job.zones, o.m.zone) !== null) return;
        const before = offers[best];
        if (!before || o.lost < before.lost) best = i;
      });
      const offer = offers[best];
      if (!offer) break;
      const { m, from } = offer;
      for (const v of offer.victims) {
        this.plan.preemptions.push({ machine: m.id, task: v.task, preemptor: job.spec.id });
        from.splice(from.indexOf(v), 1);
        release(m.free, v);
      }
      this.start(job, mine, m);
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

/** Places waiting tasks on the first machines that fit. */
export function place(now: PlacementSnapshot): PlacementPlan {
  const placing = new PlacementRound(now);
  for (const job of queueOrder(now.jobs, now.guaranteed)) placing.place(job);
  return placing.plan;
}
