/** A reference implementation of placement without indices: every job tries every machine and every victim. */
import { fits, release, type JobSpec, Priority, allocate } from '../../src/model/job.js';
import { machineRefusal, zoneRefusal } from '../../src/scheduler/placement-rule.js';
import { queueOrder, remainingQuota } from '../../src/scheduler/queue.js';
import type {
  JobView,
  MachineView,
  PlacementPlan,
  PlacementSnapshot,
  Victim,
} from '../../src/scheduler/snapshot.js';

/** Copies a snapshot so that a placement round on the copy does not change the original. */
export function copySnapshot(snapshot: PlacementSnapshot): PlacementSnapshot {
  return {
    ...snapshot,
    jobs: snapshot.jobs.map((job) => ({ ...job, zones: new Map(job.zones) })),
    machines: snapshot.machines.map((machine) => ({ ...machine, free: { ...machine.free } })),
  };
}

type SortKey = readonly (number | string)[];

function compareKeys(a: SortKey, b: SortKey): number {
  for (let index = 0; index < a.length; index++) {
    const [left, right] = [a[index] as number, b[index] as number];
    if (left !== right) return left < right ? -1 : 1;
  }
  return 0;
}

/** Returns the machines that a job may use in the documented first-fit order, sorted in full for every job. */
function machineOrder({ spec, failedMachines }: JobView, machines: readonly MachineView[]): MachineView[] {
  const keyOf = (machine: MachineView): SortKey => {
    const failed = failedMachines.has(machine.id) ? 1 : 0;
    const reachability = machine.isReachable ? 0 : 1;
    const image = machine.images.has(spec.image) ? 0 : 1;
    const freeCpus = machine.free.cpus;
    return spec.allowsSpot
      ? [failed, reachability, machine.spot ? 0 : 1, freeCpus, image, machine.id]
      : [failed, reachability, image, machine.cpus, freeCpus, machine.id];
  };
  return machines
    .filter((machine) => machineRefusal(spec, machine) === null)
    .map((machine) => ({ machine, key: keyOf(machine) }))
    .sort((left, right) => compareKeys(left.key, right.key))
    .map(({ machine }) => machine);
}

function chooseVictims(
  spec: JobSpec,
  machine: MachineView,
  candidates: readonly Victim[],
  canPreempt: (victim: Victim) => boolean,
): Victim[] | null {
  const free = { ...machine.free };
  const chosen: Victim[] = [];
  for (const victim of candidates) {
    if (fits(spec, free)) break;
    if (!canPreempt(victim)) continue;
    release(free, victim);
    chosen.push(victim);
  }
  return fits(spec, free) ? chosen : null;
}

interface PreemptionOption {
  readonly machine: MachineView;
  readonly victims: readonly Victim[];
  readonly cost: number;
}

/** Returns the lost work plus a restart of 3 s, in CPU milliseconds; eight times as much for urgent work. */
function preemptionCost(victim: Victim): number {
  return (victim.lostMs + 3000) * victim.cpus * (victim.priority >= Priority.High ? 8 : 1);
}

export function referencePlacement(snapshot: PlacementSnapshot): PlacementPlan {
  const plan: PlacementPlan = { starts: [], preemptions: [], unmet: [] };
  const usageByTeam = new Map([...snapshot.teamUsage].map(([team, usage]) => [team, { ...usage }]));
  const victimsByMachine = new Map(
    snapshot.machines.map((machine) => [machine.id, snapshot.victimsOf(machine.id)]),
  );
  for (const job of queueOrder(snapshot.jobs, snapshot.guaranteed)) {
    const { spec } = job;
    const team = snapshot.teams.get(spec.team);
    if (!team || job.waitingCount === 0 || job.isDeferred) continue;
    const teamUsage = usageByTeam.get(spec.team) ?? { cpus: 0, gpus: 0 };
    usageByTeam.set(spec.team, teamUsage);
    let remaining = Math.min(job.waitingCount, remainingQuota(team, teamUsage, spec));
    const start = (machine: MachineView): void => {
      plan.starts.push({ job: spec.id, machine: machine.id });
      allocate(machine.free, spec);
      teamUsage.cpus += spec.cpus;
      teamUsage.gpus += spec.gpus;
      job.zones.set(machine.zone, (job.zones.get(machine.zone) ?? 0) + 1);
      job.waitingCount--;
      remaining--;
    };
    const firstFit = (isEligible: (machine: MachineView) => boolean): void => {
      for (const machine of machineOrder(job, snapshot.machines)) {
        if (!isEligible(machine) || job.avoidedMachines.has(machine.id)) continue;
        while (
          remaining > 0 &&
          fits(spec, machine.free) &&
          zoneRefusal(spec, job.zones, machine.zone) === null
        )
          start(machine);
      }
    };
    const isProduction = spec.priority === Priority.Production;
    const isGuaranteed = snapshot.guaranteed.has(spec.id) && job.waitedMs >= 1000;
    const canPreempt = (victim: Victim): boolean =>
      (isProduction && victim.priority < spec.priority) ||
      (isGuaranteed &&
        victim.team !== spec.team &&
        victim.priority < Priority.Production &&
        !snapshot.guaranteed.has(victim.job));
    const mayUse = (machine: MachineView): boolean =>
      machine.isReachable &&
      machineRefusal(spec, machine) === null &&
      !job.avoidedMachines.has(machine.id) &&
      zoneRefusal(spec, job.zones, machine.zone) === null;
    const cheapestOption = (isEligible: (machine: MachineView) => boolean): PreemptionOption | null => {
      let cheapest: PreemptionOption | null = null;
      for (const machine of snapshot.machines) {
        if (!isEligible(machine) || !mayUse(machine)) continue;
        const victims = chooseVictims(spec, machine, victimsByMachine.get(machine.id) ?? [], canPreempt);
        const cost = victims?.reduce((sum, victim) => sum + preemptionCost(victim), 0) ?? Infinity;
        if (victims && (!cheapest || cost < cheapest.cost)) cheapest = { machine, victims, cost };
      }
      return cheapest;
    };
    const preempt = (isEligible: (machine: MachineView) => boolean): void => {
      while (remaining > 0) {
        const option = cheapestOption(isEligible);
        if (!option) return;
        const { machine } = option;
        for (const victim of option.victims) {
          plan.preemptions.push({ machine: machine.id, task: victim.task, preemptor: spec.id });
          const candidates = victimsByMachine.get(machine.id) ?? [];
          candidates.splice(candidates.indexOf(victim), 1);
          release(machine.free, victim);
        }
        start(machine);
      }
    };
    const hasImage = (machine: MachineView): boolean => isProduction && machine.images.has(spec.image);
    firstFit(hasImage);
    preempt(hasImage);
    firstFit(() => true);
    preempt(() => true);
    if (remaining > 0) plan.unmet.push({ job, tasks: remaining });
  }
  return plan;
}
