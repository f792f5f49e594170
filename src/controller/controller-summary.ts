/** Builds the summary that a controller logs periodically. */
import type { Admission } from '../api/admission.js';
import type { UnansweredQueries } from '../api/unanswered-queries.js';
import type { UserService } from '../api/user-service.js';
import type { StepMonitor } from '../core/step-monitor.js';
import type { Failover } from '../leadership/failover/failover.js';
import type { Leadership } from './leadership.js';
import type { PeerGroup } from './peer-group.js';
import type { StoreConnectivityMonitor } from './store-connectivity-monitor.js';

/** The components from which the summary is read. */
export interface ControllerSummarySources {
  readonly leadership: Leadership;
  /** Null: failure detection is disabled or not started yet. */
  readonly failover: Failover | null;
  readonly connectivity: StoreConnectivityMonitor;
  readonly peers: PeerGroup;
  readonly admission: Admission;
  readonly userService: UserService;
  readonly unansweredQueries: UnansweredQueries;
  readonly steps: StepMonitor;
  /** The fraction of its processor time that this process uses, between 0 and 1. */
  readonly load: number;
}

/**
 * Returns the fields of the summary. Each call resets the counts of refused requests and, while this controller leads,
 * the leader's counts of writes and decisions.
 */
export function controllerSummary(sources: ControllerSummarySources): object {
  const { leadership, failover, connectivity, peers, admission, userService, unansweredQueries } = sources;
  const cpu = process.cpuUsage();
  return {
    ...leadership.leader?.summary(),
    ...failover?.summary(),
    leads: leadership.leadingEpoch,
    stateOk: connectivity.isStoreReachable,
    peers: peers.connected.length,
    lateMs: admission.lateMs,
    longestDelayMs: admission.takeLongestLatenessMs(),
    longestStep: sources.steps.takeLongest(),
    load: Math.round(sources.load * 100) / 100,
    refusals: userService.refusals.takeCounts(),
    cachedJobs: userService.cachedJobCount,
    queuedLookups: userService.queuedLookupCount,
    unresolvedDependencies: userService.unresolvedDependencyCount,
    overdueQueries: unansweredQueries.takeOverdueCount(),
    rssMb: Math.round(process.memoryUsage.rss() / 1e6),
    cpuMs: Math.round((cpu.user + cpu.system) / 1000),
  };
}
