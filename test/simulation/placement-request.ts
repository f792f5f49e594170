/** Random jobs with placement constraints: machine types, zones, spot, zone affinity, zone anti-affinity. */
import { type JobRequest, MIXED_MACHINE_TYPES, MIXED_ZONES } from './site-setup.js';

/** The fraction of random jobs that are services; all others are arrays. */
const SERVICE_JOB_RATIO = 0.2;

function pickRandom<T>(values: readonly T[], random: () => number): T {
  return values[Math.floor(random() * values.length)] as T;
}

/**
 * Returns a random job of 1 to `maxTasks` tasks. Placement constraints are drawn independently of each other, so that
 * many jobs combine several, except that zone anti-affinity excludes zone affinity and the restriction to one zone. A
 * task uses at most 2 CPUs, so that several tasks fit on one machine.
 */
export function randomPlacementRequest(random: () => number, maxTasks: number): Omit<JobRequest, 'ref'> {
  const isService = random() < SERVICE_JOB_RATIO;
  const spreadDraw = random();
  const samePlace = spreadDraw < 0.4;
  // A job with anti-affinity runs at most half of its tasks, rounded up, in one zone: restricted to a single zone, a
  // job of two or more tasks could never run all of them.
  const apart = !samePlace && spreadDraw < 0.7;
  const isRestrictedToZone = !apart && random() < 0.35;
  const isRestrictedToTypes = random() < 0.4;
  return {
    kind: isService ? 'service' : 'array',
    tasks: 1 + Math.floor(random() * maxTasks),
    cpus: 1 + Math.floor(random() * 2),
    team: random() < 0.5 ? 'red' : 'blue',
    spot: random() < 0.5,
    runS: 3 + 25 * random(),
    samePlace,
    apart,
    ...(isRestrictedToZone ? { zone: pickRandom(MIXED_ZONES, random) } : {}),
    ...(isRestrictedToTypes ? { types: [pickRandom(MIXED_MACHINE_TYPES, random).id] } : {}),
  };
}
