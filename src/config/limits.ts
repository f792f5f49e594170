/** Warns of platform settings that are too small for any service. */
import { shareSockets } from '../net/sockets.js';
import type { Settings } from '../wire/settings.js';

/** Measured: at their peak, a follower held 30 to 40 MB, a leader of 450 machines 50 MB (docs/settings.md). */
const MIN_MEMORY_MB = 64;
/** Users, health checks and a few workers at once. */
const MIN_FRONT_SOCKETS = 64;
/** Lease renewals, watches and one decision a second. */
const MIN_STORE_RPS = 10;
/** A start and an acceptance a second. */
const MIN_STORE_WRITE_RPS = 4;
/** A worker that gets no answer tries the next controller 5 s later (PROTOCOL). */
const NEXT_CONTROLLER_S = 5;

/**
 * Returns one line for each setting with which no service can be held, naming the field. They are warnings: a
 * controller that refused to start would help nobody.
 */
export function findTooSmallSettings(settings: Settings): string[] {
  const warnings: string[] = [];
  const requireMin = (field: string, value: number, min: number, purpose: string): void => {
    if (value < min) warnings.push(`${field}: ${value} is little, ${min} is the least ${purpose}`);
  };
  const { cpuShare, maxSockets, memoryMb, storeLimits, announcedStoreLimits } = settings;
  if (cpuShare !== null && !(cpuShare > 0 && cpuShare <= 1))
    warnings.push(`facts.resources.cpu: ${cpuShare} is no share of a core, it is taken for a whole one`);
  const otherSockets = Math.ceil(maxSockets - shareSockets(maxSockets, settings.peers.length).front);
  const minSockets = otherSockets + MIN_FRONT_SOCKETS;
  requireMin('facts.resources.sockets', maxSockets, minSockets, 'that leaves workers and users room');
  if (memoryMb !== null)
    requireMin('facts.resources.memory_mb', memoryMb, MIN_MEMORY_MB, 'that the program fits');
  for (const [field, limits] of [
    ['facts.state', storeLimits],
    ['facts.state.next', announcedStoreLimits],
  ] as const) {
    requireMin(`${field}.rps`, limits.rps, MIN_STORE_RPS, 'that leadership and decisions need');
    requireMin(`${field}.write_rps`, limits.writeRps, MIN_STORE_WRITE_RPS, 'that starts need');
  }
  const { heartbeatInterval, workerLeaseDuration, cancellationLimit } = settings;
  const leaseS = workerLeaseDuration / 1000;
  const twoHeartbeatsS = (2 * heartbeatInterval) / 1000 + NEXT_CONTROLLER_S;
  requireMin('facts.workers.lease_s', leaseS, twoHeartbeatsS, 'that survives one lost controller');
  requireMin('facts.workers.cancel_s', cancellationLimit / 1000, leaseS + 1, 'that a lease can end within');
  return warnings;
}
