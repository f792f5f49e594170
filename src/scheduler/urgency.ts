import type { JobSpec } from '../model/job.js';
import type { Objective } from '../wire/settings.js';

/** Room for a task that runs longer than expected, and for its image. */
const LONGER = 1.25;
const FETCH_MS = 4000;

/**
 * How long a job may still wait, by its own deadline and its class's objectives. A target that can
 * no longer be met gives way to the next one: hopeless work must not push aside what can be saved.
 */
export class Urgency {
  private readonly within = new Map<string, number[]>();

  constructor(objectives: readonly Objective[]) {
    for (const o of objectives) {
      if (o.kind !== 'finished' || o.jobClass === null || o.within === null) continue;
      const list = this.within.get(o.jobClass) ?? [];
      list.push(o.within);
      this.within.set(
        o.jobClass,
        list.sort((a, b) => a - b),
      );
    }
  }

  /** Milliseconds until the job's tasks should have started; null: nothing is asked of it any more. */
  slack(spec: JobSpec, ageMs: number, expectedRunMs: number): number | null {
    const targets = [...(this.within.get(spec.jobClass) ?? [])];
    if (spec.deadlineS !== null) targets.push(spec.deadlineS * 1000);
    targets.sort((a, b) => a - b);
    for (const target of targets) {
      const slack = target - ageMs - expectedRunMs * LONGER - FETCH_MS;
      if (slack > 0) return slack;
    }
    return null;
  }
}
