/** Jobs whose placement rules bind: types, zones, kinds of machines, all tasks together, or at most half in a zone. */
import { type JobRequest, MIXED_MACHINE_TYPES, MIXED_ZONES } from './site-setup.js';

const SERVICE_SHARE = 0.2;

function pick<T>(from: readonly T[], random: () => number): T {
  return from[Math.floor(random() * from.length)] as T;
}

/** Each part of the rule is drawn by itself, so that most jobs have several; several of their tasks fit a machine. */
export function randomPlacementRequest(random: () => number, maxTasks: number): Omit<JobRequest, 'ref'> {
  const isService = random() < SERVICE_SHARE;
  const spread = random();
  const samePlace = spread < 0.4;
  // With one zone alone, half of the tasks could never run beside the other half.
  const apart = !samePlace && spread < 0.7;
  const hasZone = !apart && random() < 0.35;
  const hasTypes = random() < 0.4;
  return {
    kind: isService ? 'service' : 'array',
    tasks: 1 + Math.floor(random() * maxTasks),
    cpus: 1 + Math.floor(random() * 2),
    team: random() < 0.5 ? 'red' : 'blue',
    spot: random() < 0.5,
    runS: 3 + 25 * random(),
    samePlace,
    apart,
    ...(hasZone ? { zone: pick(MIXED_ZONES, random) } : {}),
    ...(hasTypes ? { types: [pick(MIXED_MACHINE_TYPES, random).id] } : {}),
  };
}
