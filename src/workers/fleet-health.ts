/** One snapshot of all workers' health, and what it says of a failure: a single machine's, or a network partition. */
import type { ZoneId } from '../model/ids.js';
import type { Worker } from './state/worker.js';

/** More machines suspected at once than this share are no machines' failure, but the network's. */
const PARTITION_SHARE = 0.4;
const ZONE_PARTITION_SHARE = 0.8;
/** Fewer suspected machines than this are no partition, whatever their share. */
const MIN_PARTITION = 3;
/** The same for machines that do not answer early probes. */
const UNRESPONSIVE_PARTITION_SHARE = 0.3;
const MIN_UNRESPONSIVE_PARTITION = 2;

/** The workers of one zone in numbers. */
export interface ZoneHealth {
  up: number;
  suspected: number;
  /** Workers that are probed between their heartbeats, and those of them that do not answer. */
  probedEarly: number;
  unresponsive: number;
}

/** What one pass over all workers has found. */
export interface FleetHealthSnapshot {
  up: number;
  /** Overdue, or heard and not reached. */
  readonly suspected: Worker[];
  /** Not overdue, but early probes brought no answer. */
  readonly unresponsive: Worker[];
  /** Workers with replicas that were silent for a while: to be probed between their heartbeats. */
  readonly probeCandidates: Worker[];
  readonly zones: Map<ZoneId, ZoneHealth>;
}

/** Returns an empty snapshot, to be filled. */
export function emptySnapshot(): FleetHealthSnapshot {
  return { up: 0, suspected: [], unresponsive: [], probeCandidates: [], zones: new Map() };
}

/** Counts a worker that is up, and returns its zone's entry; where the zone is not known, an entry of its own. */
export function countUp(snapshot: FleetHealthSnapshot, worker: Worker): ZoneHealth {
  snapshot.up++;
  const zone = zoneHealthOf(worker, snapshot) ?? { up: 0, suspected: 0, probedEarly: 0, unresponsive: 0 };
  if (worker.presumedFacts) snapshot.zones.set(worker.presumedFacts.machine.zone, zone);
  zone.up++;
  return zone;
}

/** Returns what was found of the worker's zone; undefined: the zone is not known. */
function zoneHealthOf(worker: Worker, { zones }: FleetHealthSnapshot): ZoneHealth | undefined {
  const id = worker.presumedFacts?.machine.zone;
  return id === undefined ? undefined : zones.get(id);
}

/**
 * Whether a suspected worker is more likely behind a partition than failed, since many are suspected at once: a part
 * of the network, or our own, has failed. Their heartbeats may come another way.
 * All at once, however few: a leader that receives nothing would fence healthy machines before it gives way.
 */
export function isLikelyPartitioned(worker: Worker, snapshot: FleetHealthSnapshot): boolean {
  const { up, suspected } = snapshot;
  const areAllSuspected = up >= 2 && suspected.length === up;
  if (areAllSuspected || suspected.length > Math.max(MIN_PARTITION, up * PARTITION_SHARE)) return true;
  const zone = zoneHealthOf(worker, snapshot);
  return zone !== undefined && zone.suspected > Math.max(MIN_PARTITION, zone.up * ZONE_PARTITION_SHARE);
}

/** Whether a worker that answers no early probes has failed by itself. Several at once may be behind a partition. */
export function isSingleUnresponsive(worker: Worker, snapshot: FleetHealthSnapshot): boolean {
  const zone = zoneHealthOf(worker, snapshot);
  if (!zone) return false;
  const maxSingle = Math.max(MIN_UNRESPONSIVE_PARTITION, zone.probedEarly * UNRESPONSIVE_PARTITION_SHARE);
  return zone.unresponsive <= maxSingle;
}
