import { fits, release, type JobSpec, Priority, allocate } from '../../src/model/job.js';
import { machineRefusal, zoneRefusal } from '../../src/scheduler/placement-rule.js';
import { queueOrder, remainingQuota } from '../../src/scheduler/queue.js';
import type { MachineView, PlacementPlan, PlacementSnapshot, Victim } from '../../src/scheduler/snapshot.js';

/** A copy that can be decided on without touching the original. */
export function structuredCloneOf(now: PlacementSnapshot): PlacementSnapshot {
  return {
    ...now,
    jobs: now.jobs.map((j) => ({ ...j, zones: new Map(j.zones) })),
    machines: now.machines.map((m) => ({ ...m, free: { ...m.free } })),
  };
}

/** The documented order, sorted in full for every job. */
function machineOrder(spec: JobSpec, machines: readonly MachineView[]): MachineView[] {
  const image = (m: MachineView): number => (m.images.has(spec.image) ? 0 : 1);
  const key = (m: MachineView): (number | string)[] =>
    spec.allowsSpot
      ? [m.isReachable ? 0 : 1, m.spot ? 0 : 1, m.free.cpus, image(m), m.id]
      : [m.isReachable ? 0 : 1, image(m), m.cpus, m.free.cpus, m.id];
  return machines
    .filter((m) => machineRefusal(spec, m) === null)
    .map((m) => ({ m, key: key(m) }))
    .sort((a, b) => {
      for (let i = 0; i < a.key.length; i++) {
        const [x, y] = [a.key[i] as number, b.key[i] as number];
        if (x !== y) return x < y ? -1 : 1;
      }
      return 0;
    })
    .map((x) => x.m);
}

function victimsFor(
  spec: JobSpec,
  m: MachineView,
  from: Victim[],
  may: (v: Victim) => boolean,
): Victim[] | null {
  const free = { ...m.free };
  const chosen: Victim[] = [];
  for (const v of from) {
    if (fits(spec, free)) break;
    if (!may(v)) continue;
    release(free, v);
    chosen.push(v);
  }
  return fits(spec, free) ? chosen : null;
}

/** Placement without any index: every job looks at every machine, every task at every victim. */
interface Offer {
  readonly m: MachineView;
  readonly stop: Victim[];
  readonly lost: number;
}

/** Work lost and a start of 3 s, eight times as much for urgent work. */
function lossOf(v: Victim): number {
  return (v.lostMs + 3000) * v.cpus * (v.priority >= Priority.High ? 8 : 1);
}

export function plainPlace(now: PlacementSnapshot): PlacementPlan {
  const plan: PlacementPlan = { starts: [], preemptions: [], unmet: [] };
  const used = new Map([...now.teamUsage].map(([team, u]) => [team, { ...u }]));
  const victims = new Map(now.machines.map((m) => [m.id, now.victimsOf(m.id)]));
  for (const job of queueOrder(now.jobs, now.guaranteed)) {
    const { spec } = job;
    const team = now.teams.get(spec.team);
    if (!team || job.waitingCount === 0 || job.isHeldBack) continue;
    const mine = used.get(spec.team) ?? { cpus: 0, gpus: 0 };
    used.set(spec.team, mine);
    let left = Math.min(job.waitingCount, remainingQuota(team, mine, spec));
    const start = (m: MachineView): void => {
      plan.starts.push({ job: spec.id, machine: m.id });
      allocate(m.free, spec);
      mine.cpus += spec.cpus;
      mine.gpus += spec.gpus;
      job.zones.set(m.zone, (job.zones.get(m.zone) ?? 0) + 1);
      job.waitingCount--;
      left--;
    };
    const firstFit = (which: (m: MachineView) => boolean): void => {
      for (const m of machineOrder(spec, now.machines)) {
        if (!which(m) || job.avoidedMachines.has(m.id)) continue;
        while (left > 0 && fits(spec, m.free) && zoneRefusal(spec, job.zones, m.zone) === null) start(m);
      }
    };
    const production = spec.priority === Priority.Production;
    const within = now.guaranteed.has(spec.id) && job.waitedMs >= 1000;
    const may = (v: Victim): boolean =>
      (production && v.priority < spec.priority) ||
      (within && v.team !== spec.team && v.priority < Priority.Production && !now.guaranteed.has(v.job));
    const mayUse = (m: MachineView): boolean =>
      m.isReachable &&
      machineRefusal(spec, m) === null &&
      !job.avoidedMachines.has(m.id) &&
      zoneRefusal(spec, job.zones, m.zone) === null;
    const cheapest = (which: (m: MachineView) => boolean): Offer | null => {
      let best: Offer | null = null;
      for (const m of now.machines) {
        if (!which(m) || !mayUse(m)) continue;
        const stop = victimsFor(spec, m, victims.get(m.id) ?? [], may);
        const lost = stop?.reduce((sum, v) => sum + lossOf(v), 0) ?? Infinity;
        if (stop && (!best || lost < best.lost)) best = { m, stop, lost };
      }
      return best;
    };
    const makeRoom = (which: (m: MachineView) => boolean): void => {
      while (left > 0) {
        const best = cheapest(which);
        if (!best) return;
        for (const v of best.stop) {
          plan.preemptions.push({ machine: best.m.id, task: v.task, preemptor: spec.id });
          const from = victims.get(best.m.id) ?? [];
          from.splice(from.indexOf(v), 1);
          release(best.m.free, v);
        }
        start(best.m);
      }
    };
    const warm = (m: MachineView): boolean => production && m.images.has(spec.image);
    firstFit(warm);
    makeRoom(warm);
    firstFit(() => true);
    makeRoom(() => true);
    if (left > 0) plan.unmet.push({ job, tasks: left });
  }
  return plan;
}
