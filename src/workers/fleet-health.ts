/** A snapshot of all workers' health, which tells the failure of individual machines from a network partition. */
import type { ZoneId } from '../model/ids.js';
import type { Worker } from './state/worker.js';

/** The largest ratio of suspected to running machines that counts as machine failures; a larger one is a partition. */
const MAX_INDIVIDUAL_FAILURE_RATIO = 0.4;
/** The same bound as `MAX_INDIVIDUAL_FAILURE_RATIO`, for the machines of one zone. */
const ZONE_MAX_INDIVIDUAL_FAILURE_RATIO = 0.8;
/** The number of suspected machines up to which no partition is assumed, unless all machines are suspected. */
const MAX_INDIVIDUAL_FAILURE_COUNT = 3;
/** The largest ratio, in one zone, of unresponsive machines to those probed early that counts as machine failures. */
const MAX_INDIVIDUAL_UNRESPONSIVE_RATIO = 0.3;
/** The largest number of unresponsive machines in one zone that counts as machine failures, whatever their ratio. */
const MAX_INDIVIDUAL_UNRESPONSIVE_COUNT = 2;

/** Worker counts of one zone. `up` includes workers that are not up but have tasks. */
export interface ZoneHealth {
  up: number;
  suspected: number;
  /** Workers that are eligible for probes between their heartbeats. */
  probedEarly: number;
  /** Workers that have failed their probes between heartbeats. */
  unresponsive: number;
}

/** The result of one pass over all workers that are up or have tasks; `up` counts both. */
export interface FleetHealthSnapshot {
  up: number;
  /** Workers whose heartbeats are overdue, or whose heartbeats arrive while no answer reaches them. */
  readonly suspected: Worker[];
  /** Workers whose heartbeats are not overdue, but that have failed their early probes. */
  readonly unresponsive: Worker[];
  /** Workers with replicas that are due for a probe before their next heartbeat is overdue. */
  readonly probeCandidates: Worker[];
  readonly zones: Map<ZoneId, ZoneHealth>;
}

/** Returns a snapshot without workers, to be filled with `recordUpWorker`. */
export function createFleetSnapshot(): FleetHealthSnapshot {
  return { up: 0, suspected: [], unresponsive: [], probeCandidates: [], zones: new Map() };
}

/** Counts a worker as up and returns its zone's entry, or an entry for this worker alone if the zone is unknown. */
export function recordUpWorker(snapshot: FleetHealthSnapshot, worker: Worker): ZoneHealth {
  snapshot.up++;
  const zone = zoneHealthOf(worker, snapshot) ?? { up: 0, suspected: 0, probedEarly: 0, unresponsive: 0 };
  if (worker.presumedFacts) snapshot.zones.set(worker.presumedFacts.machine.zone, zone);
  zone.up++;
  return zone;
}

/** Returns the entry of the worker's zone, or undefined if the zone is unknown or has no entry yet. */
function zoneHealthOf(worker: Worker, { zones }: FleetHealthSnapshot): ZoneHealth | undefined {
  const id = worker.presumedFacts?.machine.zone;
  return id === undefined ? undefined : zones.get(id);
}

/**
 * Whether a suspected worker is more likely behind a partition than failed, because many workers are suspected at once.
 * Either a part of the network or the leader's own connection has failed; heartbeats may still arrive on another route.
 *
 * If all workers are suspected, a partition is assumed for any count from two: a leader that receives nothing would
 * otherwise fence healthy machines before it steps down.
 */
export function isLikelyPartitioned(worker: Worker, snapshot: FleetHealthSnapshot): boolean {
  const { up, suspected } = snapshot;
  const areAllSuspected = up >= 2 && suspected.length === up;
  if (
    areAllSuspected ||
    suspected.length > Math.max(MAX_INDIVIDUAL_FAILURE_COUNT, up * MAX_INDIVIDUAL_FAILURE_RATIO)
  )
    return true;
  const zone = zoneHealthOf(worker, snapshot);
  return (
    zone !== undefined &&
    zone.suspected > Math.max(MAX_INDIVIDUAL_FAILURE_COUNT, zone.up * ZONE_MAX_INDIVIDUAL_FAILURE_RATIO)
  );
}

/**
 * Whether a worker that answers no early probes counts as a machine failure: no more workers in its zone are
 * unresponsive than the larger of the two limits, since several at once may be behind a partition. False if the
 * worker's zone is unknown.
 */
export function isIndividuallyUnresponsive(worker: Worker, snapshot: FleetHealthSnapshot): boolean {
  const zone = zoneHealthOf(worker, snapshot);
  if (!zone) return false;
  const maxIndividualCount = Math.max(
    MAX_INDIVIDUAL_UNRESPONSIVE_COUNT,
    zone.probedEarly * MAX_INDIVIDUAL_UNRESPONSIVE_RATIO,
  );
  return zone.unresponsive <= maxIndividualCount;
}
