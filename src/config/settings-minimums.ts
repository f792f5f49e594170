/** Finds platform settings that are too small for reliable operation. */
import { allocateSockets } from '../net/socket-allocation.js';
import type { Settings } from '../wire/settings.js';

/**
 * The minimum memory of a controller: a follower uses 30 to 40 MB at its peak, a leader of 450 machines 50 MB
 * (docs/settings.md).
 */
const MIN_MEMORY_MB = 64;
/** The minimum number of front sockets: enough for users, health checks and a few workers at once. */
const MIN_FRONT_SOCKET_COUNT = 64;
/** The minimum store requests per second: enough for lease renewals, watches and one scheduling decision per second. */
const MIN_STORE_RPS = 10;
/** The minimum store writes per second: enough for one task start and one job acceptance per second. */
const MIN_STORE_WRITE_RPS = 4;
/** The delay after which a worker that gets no answer tries the next controller: 5 s (PROTOCOL). */
const WORKER_RETRY_DELAY_S = 5;

/**
 * Returns a one-line warning, which names the field, for each setting that is too small for reliable operation, and for
 * a processor share outside the range above 0 up to 1. The warnings are not errors, since a controller that
 * refuses to start would be of no use.
 */
export function findSettingsBelowMinimum(settings: Settings): string[] {
  const warnings: string[] = [];
  const requireMin = (field: string, value: number, min: number, purpose: string): void => {
    if (value < min) warnings.push(`${field}: ${value} is below ${min}, the minimum ${purpose}`);
  };
  const { cpuShare, maxSockets, memoryMb, storeLimits, announcedStoreLimits } = settings;
  if (cpuShare !== null && !(cpuShare > 0 && cpuShare <= 1))
    warnings.push(
      `facts.resources.cpu: ${cpuShare} is not a share of a core (above 0, at most 1); a whole core is assumed`,
    );
  const otherSockets = Math.ceil(maxSockets - allocateSockets(maxSockets, settings.peers.length).front);
  const minSockets = otherSockets + MIN_FRONT_SOCKET_COUNT;
  requireMin('facts.resources.sockets', maxSockets, minSockets, 'that leaves sockets for workers and users');
  if (memoryMb !== null)
    requireMin('facts.resources.memory_mb', memoryMb, MIN_MEMORY_MB, 'that the process needs');
  for (const [field, limits] of [
    ['facts.state', storeLimits],
    ['facts.state.next', announcedStoreLimits],
  ] as const) {
    requireMin(`${field}.rps`, limits.rps, MIN_STORE_RPS, 'that leadership and scheduling decisions need');
    requireMin(`${field}.write_rps`, limits.writeRps, MIN_STORE_WRITE_RPS, 'that task starts need');
  }
  const { heartbeatInterval, workerLeaseDuration, cancellationLimit } = settings;
  const leaseS = workerLeaseDuration / 1000;
  const minLeaseS = (2 * heartbeatInterval) / 1000 + WORKER_RETRY_DELAY_S;
  requireMin(
    'facts.workers.lease_s',
    leaseS,
    minLeaseS,
    'with which a worker lease survives the failure of one controller',
  );
  requireMin(
    'facts.workers.cancel_s',
    cancellationLimit / 1000,
    leaseS + 1,
    'within which a worker lease can expire',
  );
  return warnings;
}
