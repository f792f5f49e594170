/** The quarantine of a machine on which tasks fail: no tasks for some time, then one trial task at a time. */
import { type Millis, type MonotonicTime, ms, plus, since } from '../../model/time.js';
import type { Task } from '../../scheduler/task.js';

/** The time without tasks after a machine's first quarantine has begun; doubled with each further quarantine. */
const INITIAL_PAUSE_MS = 20_000;
/** Leaves time for an image fetch and a trial within the 90 s for which a job may wait beside free capacity. */
const MAX_PAUSE_MS = 40_000;
/** The run time after which a trial task that has not failed shows that the machine runs tasks again. */
const TRIAL_RUN_MS = 5000;

/**
 * - `none`: the machine is not in quarantine.
 * - `paused`: the machine gets no tasks until `until`, and one trial task after that.
 * - `trial`: a trial task was placed on the machine.
 */
type QuarantineState =
  | { readonly kind: 'none' }
  | { readonly kind: 'paused'; readonly until: MonotonicTime }
  | { readonly kind: 'trial'; readonly task: Task };

/**
 * Tracks the quarantine of one machine, as a circuit breaker does for a service: the quarantine ends with a trial task
 * that succeeds or runs for `TRIAL_RUN_MS`, and begins anew, for longer, with one that fails. A trial that ends in any
 * other way shows nothing, and the next one may start at once.
 */
export class FailureQuarantine {
  private state: QuarantineState = { kind: 'none' };
  /** The number of quarantines since a task last succeeded as a trial. */
  private consecutiveCount = 0;

  /** Begins a quarantine and returns the time until the first trial. */
  begin(now: MonotonicTime): Millis {
    const pause = Math.min(MAX_PAUSE_MS, INITIAL_PAUSE_MS * 2 ** this.consecutiveCount);
    this.consecutiveCount++;
    this.state = { kind: 'paused', until: plus(now, pause) };
    return ms(pause);
  }

  /** Ends the quarantine. Only a trial that succeeded makes the next quarantine as short as the first one. */
  end(outcome: 'trial succeeded' | 'trial runs'): void {
    this.state = { kind: 'none' };
    if (outcome === 'trial succeeded') this.consecutiveCount = 0;
  }

  /** Whether a trial task may be placed on the machine; `tasks` are the tasks that may be on the machine. */
  acceptsTrial(tasks: ReadonlySet<Task>, now: MonotonicTime): boolean {
    if (this.state.kind === 'trial') return !tasks.has(this.state.task);
    return this.state.kind === 'paused' && now >= this.state.until;
  }

  /** Records that the task was placed on the machine as a trial. */
  beginTrial(task: Task): void {
    this.state = { kind: 'trial', task };
  }

  /** Whether the task was placed as the current trial. */
  isTrial(task: Task): boolean {
    return this.state.kind === 'trial' && this.state.task === task;
  }

  /** Whether the trial task is still on the machine and has run for `TRIAL_RUN_MS`, according to a heartbeat of `now`. */
  hasTrialRun(tasks: ReadonlySet<Task>, now: MonotonicTime): boolean {
    if (this.state.kind !== 'trial') return false;
    const { task } = this.state;
    if (!tasks.has(task) || task.observedState !== 'running' || task.runningAt === null) return false;
    return since(now, task.runningAt) >= TRIAL_RUN_MS;
  }
}
