import type { LeaderContext } from '../core/context.js';

type Settings = LeaderContext['settings'];

/** The subset of `LeaderContext` that failure detection needs, small enough for tests to construct. */
export interface FailureDetectionContext extends Pick<
  LeaderContext,
  'clock' | 'isEnded' | 'load' | 'maxConcurrentWorkerCalls' | 'operators' | 'startedAt' | 'workers'
> {
  readonly settings: Pick<Settings, 'cpuShare' | 'heartbeatInterval' | 'workerLeaseDuration'>;
  readonly workerClient: Pick<LeaderContext['workerClient'], 'fetchHeartbeat'>;
}
