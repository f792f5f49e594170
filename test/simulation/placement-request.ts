/** Jobs whose placement rules bind: types, zones, kinds of machines, all tasks together, or at most half in a zone. */
import { type JobWish, MIXED_TYPES, MIXED_ZONES } from './site-setup.js';

const SERVICE_SHARE = 0.2;

function pick<T>(from: readonly T[], random: () => number): T {
  return from[Math.floor(random() * from.length)] as T;
}

/** Each part of the rule is drawn by itself, so that most jobs have several; several of their tasks fit a machine. */
export function placementWish(random: () => number, mostTasks: number): Omit<JobWish, 'ref'> {
  const service = random() < SERVICE_SHARE;
  const spread = random();
  const samePlace = spread < 0.4;
  // With one zone alone, half of the tasks could never run beside the other half.
  const apart = !samePlace && spread < 0.7;
  const zoned = !apart && random() < 0.35;
  const typed = random() < 0.4;
  return {
    kind: service ? 'service' : 'array',
    tasks: 1 + Math.floor(random() * mostTasks),
    cpus: 1 + Math.floor(random() * 2),
    team: random() < 0.5 ? 'red' : 'blue',
    spot: random() < 0.5,
    runS: 3 + 25 * random(),
    samePlace,
    apart,
    ...(zoned ? { zone: pick(MIXED_ZONES, random) } : {}),
    ...(typed ? { types: [pick(MIXED_TYPES, random).id] } : {}),
  };
}
