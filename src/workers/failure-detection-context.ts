import type { LeaderContext } from '../core/context.js';

type Settings = LeaderContext['settings'];

/** The part of the leader's context that failure detection needs: narrow, so that tests can make one. */
export interface FailureDetectionContext extends Pick<
  LeaderContext,
  'clock' | 'isEnded' | 'load' | 'maxConcurrentWorkerCalls' | 'operators' | 'startedAt' | 'workers'
> {
  readonly settings: Pick<Settings, 'cpuShare' | 'heartbeatInterval' | 'workerLeaseDuration'>;
  readonly workerClient: Pick<LeaderContext['workerClient'], 'fetchHeartbeat'>;
}
