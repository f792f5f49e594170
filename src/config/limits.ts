import { shareSockets } from '../net/socket-shares.js';
import type { Settings } from '../wire/settings.js';

/** Measured: at their most, a follower held 30 to 40 MB, a leader of 450 machines 50 MB (docs/settings.md). */
const PROCESS_MB = 64;
/** Users, health checks and a few workers at once. */
const LEAST_FRONT = 64;
/** Renewals, watches and one decision a second. */
const LEAST_STATE_RPS = 10;
/** A start and an acceptance a second. */
const LEAST_WRITE_RPS = 4;
/** A worker that gets no answer tries the next controller 5 s later (PROTOCOL). */
const NEXT_CONTROLLER_S = 5;

/**
 * Settings with which no service can be held, one line each, naming the field. The program serves as
 * well as it can all the same: a node that refused to start would help nobody.
 */
export function findTooSmallSettings(settings: Settings): string[] {
  const lines: string[] = [];
  const least = (field: string, is: number, needed: number, why: string): void => {
    if (is < needed) lines.push(`${field}: ${is} is little, ${needed} is the least ${why}`);
  };
  const { cpuShare, maxSockets, peers } = settings;
  if (cpuShare !== null && !(cpuShare > 0 && cpuShare <= 1))
    lines.push(`facts.resources.cpu: ${cpuShare} is no share of a core, it is taken for a whole one`);
  const others = Math.ceil(maxSockets - shareSockets(maxSockets, peers.length).front);
  least('facts.resources.sockets', maxSockets, others + LEAST_FRONT, 'that leaves workers and users room');
  if (settings.memoryMb !== null)
    least('facts.resources.memory_mb', settings.memoryMb, PROCESS_MB, 'that the program fits');
  least('facts.state.rps', settings.storeLimits.rps, LEAST_STATE_RPS, 'that leadership and decisions need');
  least('facts.state.write_rps', settings.storeLimits.writeRps, LEAST_WRITE_RPS, 'that starts need');
  least(
    'facts.state.next.rps',
    settings.announcedStoreLimits.rps,
    LEAST_STATE_RPS,
    'that leadership and decisions need',
  );
  least(
    'facts.state.next.write_rps',
    settings.announcedStoreLimits.writeRps,
    LEAST_WRITE_RPS,
    'that starts need',
  );
  const { heartbeatInterval, workerLeaseDuration, cancellationLimit } = settings;
  const twoReports = (2 * heartbeatInterval) / 1000 + NEXT_CONTROLLER_S;
  least('facts.workers.lease_s', workerLeaseDuration / 1000, twoReports, 'that survives one lost controller');
  least(
    'facts.workers.cancel_s',
    cancellationLimit / 1000,
    workerLeaseDuration / 1000 + 1,
    'that a lease can end within',
  );
  return lines;
}
