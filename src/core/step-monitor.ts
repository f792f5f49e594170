/** Finds the steps that hold the event loop for too long, and names them. */
import type { Logger } from '../log/logger.js';
import { type Clock, type Millis, since } from '../model/time.js';

/** A leader renews a lease of 2.5 s, and a user waits 2 s for an answer: one step must leave time for the others. */
const MAX_STEP_MS = 1000;

/** Message logged when a step took longer than `MAX_STEP_MS`. */
export const LONG_STEP_MESSAGE = 'event loop held by one step';

/** What a process does without giving way to other work. */
export type StepName =
  | 'user request'
  | 'job changes applied to cache'
  | 'dependencies judged'
  | 'jobs added'
  | 'jobs cancelled'
  | 'job completed';

/** The longest step of a period. */
export interface LongestStep {
  readonly step: StepName;
  readonly durationMs: number;
}

/**
 * Measures synchronous steps whose cost depends on what users have submitted. While one runs, the process answers
 * nobody and renews no lease.
 */
export class StepMonitor {
  private longest: LongestStep | null = null;

  constructor(
    private readonly clock: Pick<Clock, 'now'>,
    private readonly log: Logger,
  ) {}

  /** Runs a step. `subject`: the job or request that the step is about; it is named if the step takes too long. */
  run<T>(step: StepName, subject: string | undefined, action: () => T): T {
    const startedAt = this.clock.now();
    try {
      return action();
    } finally {
      this.record(step, subject, since(this.clock.now(), startedAt));
    }
  }

  private record(step: StepName, subject: string | undefined, duration: Millis): void {
    const durationMs = Math.round(duration);
    if (this.longest === null || durationMs > this.longest.durationMs) this.longest = { step, durationMs };
    if (duration > MAX_STEP_MS) this.log.error({ step, subject, durationMs }, LONG_STEP_MESSAGE);
  }

  /** Returns the longest step since the last call; null: no step was run. */
  takeLongest(): LongestStep | null {
    const { longest } = this;
    this.longest = null;
    return longest;
  }
}
