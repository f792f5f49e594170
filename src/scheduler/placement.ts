/** Places waiting tasks on machines: first fit over an ordered index, and preemption where the rules allow it. */
import type { TeamId } from '../model/ids.js';
import { fits, release, Priority, type Resources, allocate } from '../model/job.js';
import { CandidateIndex } from './candidate-index.js';
import { machineRefusal, zoneRefusal } from './placement-rule.js';
import { preemptionFilter, type PreemptionOption, preemptionOption } from './preemption.js';
import { queueOrder, remainingQuota } from './queue.js';
import type { JobView, MachineView, PlacementPlan, PlacementSnapshot, Victim } from './snapshot.js';
import type { TeamUsage } from './team-usage.js';

/** Bounds the ratio of a starving job's tasks that one round places ahead of other work. */
const STARVING_JOB_TASK_RATIO = 0.25;

type MachineFilter = (machine: MachineView) => boolean;

interface PreemptibleMachine {
  readonly machine: MachineView;
  readonly victims: Victim[];
}

/**
 * Runs one round of placement over one snapshot. The round updates the free capacity of the snapshot's machines, and
 * the waiting count and zones of the snapshot's jobs, by the started and preempted tasks.
 */
class PlacementRound {
  readonly plan: PlacementPlan = { starts: [], preemptions: [], unmet: [] };
  private readonly usageByTeam = new Map<TeamId, TeamUsage>();
  private readonly spotIndex: CandidateIndex;
  private readonly onDemandIndex: CandidateIndex;
  private preemptibleMachines: PreemptibleMachine[] | null = null;

  constructor(private readonly snapshot: PlacementSnapshot) {
    for (const [team, usage] of snapshot.teamUsage) this.usageByTeam.set(team, { ...usage });
    const minimumFree = minimumRequest(snapshot.jobs);
    this.spotIndex = new CandidateIndex(snapshot.machines, true, minimumFree);
    this.onDemandIndex = new CandidateIndex(snapshot.machines, false, minimumFree);
  }

  place(job: JobView): void {
    const { spec } = job;
    const team = this.snapshot.teams.get(spec.team);
    if (!team || job.waitingCount === 0 || job.isDeferred) return;
    const teamUsage = this.usageOf(spec.team);
    let remaining = Math.min(job.waitingCount, remainingQuota(team, teamUsage, spec));
    // A starving job gets only part of its tasks placed ahead of its rank: the job makes progress, and other jobs are
    // not blocked.
    if (job.isStarving) remaining = Math.min(remaining, Math.ceil(spec.taskCount * STARVING_JOB_TASK_RATIO));
    // A production task, such as a service replica, starts without delay only on a machine that has its image, so
    // preempting there takes precedence over an image fetch on a free machine.
    if (spec.priority === Priority.Production) {
      const hasImage: MachineFilter = (machine) => machine.images.has(spec.image);
      remaining = this.firstFit(job, remaining, hasImage);
      remaining = this.preempt(job, remaining, hasImage);
    }
    remaining = this.firstFit(job, remaining, () => true);
    remaining = this.preempt(job, remaining, () => true);
    if (remaining > 0) {
      const tasks = Math.min(job.waitingCount, remainingQuota(team, teamUsage, spec));
      this.plan.unmet.push({ job, tasks });
    }
  }

  /**
   * Places one task on each machine that accepts a trial, of the jobs that have no room elsewhere. Jobs with the fewest
   * failures come first: a job that fails on every machine must not use up the trials of the others.
   */
  placeTrials(): void {
    const { trialMachines } = this.snapshot;
    if (trialMachines.length === 0) return;
    const candidates = this.plan.unmet.toSorted(
      (left, right) => left.job.failureCount - right.job.failureCount,
    );
    for (const machine of trialMachines) {
      const unmet = candidates.find(({ job, tasks }) => tasks > 0 && this.canTry(job, machine));
      if (!unmet) continue;
      this.recordStart(unmet.job, machine);
      unmet.tasks--;
    }
    this.plan.unmet = this.plan.unmet.filter(({ tasks }) => tasks > 0);
  }

  /** Whether a task of the job may start on the machine as a trial. */
  private canTry(job: JobView, machine: MachineView): boolean {
    const { spec } = job;
    const team = this.snapshot.teams.get(spec.team);
    if (!team || remainingQuota(team, this.usageOf(spec.team), spec) === 0) return false;
    if (job.avoidedMachines.has(machine.id) || !fits(spec, machine.free)) return false;
    return machineRefusal(spec, machine) === null && zoneRefusal(spec, job.zones, machine.zone) === null;
  }

  private usageOf(team: TeamId): TeamUsage {
    let usage = this.usageByTeam.get(team);
    if (!usage) {
      usage = { cpus: 0, gpus: 0 };
      this.usageByTeam.set(team, usage);
    }
    return usage;
  }

  private start(job: JobView, machine: MachineView): void {
    this.recordStart(job, machine);
    this.spotIndex.markChanged(machine);
    this.onDemandIndex.markChanged(machine);
  }

  private recordStart(job: JobView, machine: MachineView): void {
    const { spec } = job;
    this.plan.starts.push({ job: spec.id, machine: machine.id });
    allocate(machine.free, spec);
    const teamUsage = this.usageOf(spec.team);
    teamUsage.cpus += spec.cpus;
    teamUsage.gpus += spec.gpus;
    job.zones.set(machine.zone, (job.zones.get(machine.zone) ?? 0) + 1);
    job.waitingCount--;
  }

  /**
   * Starts tasks on machines with free capacity, those on which the job has failed last. Returns how many tasks are
   * still to be placed.
   */
  private firstFit(job: JobView, remaining: number, isEligible: MachineFilter): number {
    const { failedMachines } = job;
    if (failedMachines.size === 0) return this.fill(job, remaining, isEligible);
    const unplaced = this.fill(
      job,
      remaining,
      (machine) => !failedMachines.has(machine.id) && isEligible(machine),
    );
    return this.fill(job, unplaced, (machine) => failedMachines.has(machine.id) && isEligible(machine));
  }

  private fill(job: JobView, remaining: number, isEligible: MachineFilter): number {
    if (remaining <= 0) return remaining;
    const { spec } = job;
    const index = spec.allowsSpot ? this.spotIndex : this.onDemandIndex;
    for (const machine of index.inOrder(spec.image)) {
      if (!isEligible(machine) || machineRefusal(spec, machine) !== null) continue;
      if (job.avoidedMachines.has(machine.id)) continue;
      while (
        remaining > 0 &&
        fits(spec, machine.free) &&
        zoneRefusal(spec, job.zones, machine.zone) === null
      ) {
        this.start(job, machine);
        remaining--;
      }
      if (remaining === 0) break;
    }
    return remaining;
  }

  /** Returns the reachable machines with tasks that could be preempted, computed once per round. */
  private preemptible(): PreemptibleMachine[] {
    this.preemptibleMachines ??= this.snapshot.machines
      .filter((machine) => machine.isReachable)
      .map((machine) => ({ machine, victims: this.snapshot.victimsOf(machine.id) }))
      .filter(({ victims }) => victims.length > 0);
    return this.preemptibleMachines;
  }

  /**
   * Starts one task after the other where preemption costs least, if tasks may be preempted for the job. Returns how
   * many tasks are still to be placed.
   */
  private preempt(job: JobView, remaining: number, isEligible: MachineFilter): number {
    const canPreempt = remaining > 0 ? preemptionFilter(job, this.snapshot.guaranteed) : null;
    if (!canPreempt) return remaining;
    const { spec } = job;
    const options: PreemptionOption[] = [];
    for (const { machine, victims } of this.preemptible()) {
      if (!isEligible(machine) || machineRefusal(spec, machine) !== null) continue;
      if (job.avoidedMachines.has(machine.id)) continue;
      const option = preemptionOption(spec, machine, victims, canPreempt);
      if (option) options.push(option);
    }
    while (remaining > 0) {
      const index = cheapestOption(options, job);
      const option = options[index];
      if (!option) break;
      this.applyOption(job, option);
      remaining--;
      const next = preemptionOption(spec, option.machine, option.candidates, canPreempt);
      if (next) options[index] = next;
      else options.splice(index, 1);
    }
    return remaining;
  }

  private applyOption(job: JobView, option: PreemptionOption): void {
    const { machine, candidates, victims } = option;
    for (const victim of victims) {
      this.plan.preemptions.push({ machine: machine.id, task: victim.task, preemptor: job.spec.id });
      candidates.splice(candidates.indexOf(victim), 1);
      release(machine.free, victim);
    }
    this.start(job, machine);
  }
}

/** Returns the index of the first option with the least cost in a zone that the job may use; -1: there is none. */
function cheapestOption(options: readonly PreemptionOption[], job: JobView): number {
  let cheapest = -1;
  let leastCost = Infinity;
  options.forEach(({ machine, cost }, index) => {
    if (zoneRefusal(job.spec, job.zones, machine.zone) !== null) return;
    if (cheapest >= 0 && cost >= leastCost) return;
    cheapest = index;
    leastCost = cost;
  });
  return cheapest;
}

/** Returns the minimum of each resource over all requests: a machine with less free capacity fits no task. */
function minimumRequest(jobs: readonly JobView[]): Resources {
  const smallest = { cpus: Infinity, gpus: Infinity, memoryGb: Infinity };
  for (const { spec } of jobs) {
    smallest.cpus = Math.min(smallest.cpus, spec.cpus);
    smallest.gpus = Math.min(smallest.gpus, spec.gpus);
    smallest.memoryGb = Math.min(smallest.memoryGb, spec.memoryGb);
  }
  return smallest;
}

/** Places the waiting tasks of a snapshot, one job after the other in queue order. */
export function place(snapshot: PlacementSnapshot): PlacementPlan {
  const round = new PlacementRound(snapshot);
  for (const job of queueOrder(snapshot.jobs, snapshot.guaranteed)) round.place(job);
  round.placeTrials();
  return round.plan;
}
