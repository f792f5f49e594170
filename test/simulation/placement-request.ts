/** Random jobs with placement rules: machine types, zones, spot, zone affinity, zone anti-affinity. */
import { type JobRequest, MIXED_MACHINE_TYPES, MIXED_ZONES } from './site-setup.js';

const SERVICE_FRACTION = 0.2;

function pick<T>(from: readonly T[], random: () => number): T {
  return from[Math.floor(random() * from.length)] as T;
}

/** Draws each part of the rule independently, so that most jobs have several. Several of their tasks fit a machine. */
export function randomPlacementRequest(random: () => number, maxTasks: number): Omit<JobRequest, 'ref'> {
  const isService = random() < SERVICE_FRACTION;
  const spread = random();
  const samePlace = spread < 0.4;
  // In a single zone, a job with anti-affinity could never run all of its tasks.
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
