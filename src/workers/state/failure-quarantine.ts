/** The quarantine of a machine on which tasks fail: no tasks for some time, then trial tasks. */
import { type Millis, type MonotonicTime, ms, plus, since } from '../../model/time.js';
import type { Task } from '../../scheduler/task.js';

/** The time without tasks after a machine's first quarantine has begun; doubled with each further quarantine. */
const INITIAL_PAUSE_MS = 30_000;
/** Leaves time for an image fetch and a trial within the 90 s for which a job may wait beside free capacity. */
const MAX_PAUSE_MS = 45_000;
/** The run time after which a trial task that has not failed shows that the machine runs tasks again. */
const TRIAL_RUN_MS = 5000;
/** The time after which another trial task may start beside one without a result, such as one that fetches its image. */
const TRIAL_INTERVAL_MS = 20_000;
/** The time after which probation ends even without a trial, as on a machine that is full of long tasks. */
const MAX_PROBATION_MS = 60_000;

/** What a trial has shown about the machine. */
export type TrialSuccess = 'trial succeeded' | 'trial runs';

/**
 * - `none`: the machine is not restricted.
 * - `quarantine`: the machine gets no tasks until `trialsFrom`, and trial tasks after that, until one shows success.
 * - `probation`: the machine gets trial tasks only, until one shows success or `MAX_PROBATION_MS` have passed.
 */
type Restriction = 'none' | 'quarantine' | 'probation';

/**
 * Tracks whether one machine gets trial tasks only, as a circuit breaker does for the requests to a service. A first
 * failure leads to probation, failures that count against the machine to quarantine. Both end with a trial task that
 * succeeds or runs for `TRIAL_RUN_MS`; one that fails in quarantine begins the next, longer quarantine. A trial that ends
 * in any other way shows nothing, and the next one may start at once.
 */
export class FailureQuarantine {
  private restriction: Restriction = 'none';
  private beganAt = 0 as MonotonicTime;
  private trialsFrom = 0 as MonotonicTime;
  private readonly trials = new Set<Task>();
  /** The number of quarantines since a trial task last succeeded. */
  private consecutiveCount = 0;

  /** Whether the machine gets trial tasks only. */
  isActive(now: MonotonicTime): boolean {
    if (this.restriction === 'probation') return since(now, this.beganAt) < MAX_PROBATION_MS;
    return this.restriction === 'quarantine';
  }

  /** Begins a quarantine and returns the time until the first trial. */
  begin(now: MonotonicTime): Millis {
    const pause = Math.min(MAX_PAUSE_MS, INITIAL_PAUSE_MS * 2 ** this.consecutiveCount);
    this.consecutiveCount++;
    this.restrict('quarantine', now, pause);
    return ms(pause);
  }

  /** Begins probation: the first trial may start at once. */
  beginProbation(now: MonotonicTime): void {
    this.restrict('probation', now, 0);
  }

  private restrict(restriction: Restriction, now: MonotonicTime, pauseMs: number): void {
    this.restriction = restriction;
    this.beganAt = now;
    this.trialsFrom = plus(now, pauseMs);
    this.trials.clear();
  }

  /** Ends quarantine or probation. Only a trial that succeeded makes the next quarantine as short as the first one. */
  end(evidence: TrialSuccess): void {
    this.restriction = 'none';
    this.trials.clear();
    if (evidence === 'trial succeeded') this.consecutiveCount = 0;
  }

  /** Whether a trial task may be placed on the machine; `tasks` are the tasks that may be on the machine. */
  acceptsTrial(tasks: ReadonlySet<Task>, now: MonotonicTime): boolean {
    if (!this.isActive(now) || now < this.trialsFrom) return false;
    for (const trial of this.trials) {
      if (tasks.has(trial) && since(now, trial.placedAt ?? now) < TRIAL_INTERVAL_MS) return false;
    }
    return true;
  }

  /** Records that the task was placed on the machine as a trial. */
  recordTrial(task: Task): void {
    this.trials.add(task);
  }

  /** Whether the task was placed as a trial since the quarantine or probation began. */
  isTrial(task: Task): boolean {
    return this.trials.has(task);
  }

  /** Whether a trial task is on the machine and had run for `TRIAL_RUN_MS` at the time of the last heartbeat. */
  hasTrialRun(tasks: ReadonlySet<Task>, lastHeartbeatAt: MonotonicTime): boolean {
    for (const trial of this.trials) {
      if (!tasks.has(trial) || trial.observedState !== 'running' || trial.runningAt === null) continue;
      if (since(lastHeartbeatAt, trial.runningAt) >= TRIAL_RUN_MS) return true;
    }
    return false;
  }
}
