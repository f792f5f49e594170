import { describe, expect, it } from 'vitest';
import { LONG_STEP_MESSAGE, StepMonitor } from '../../src/core/step-monitor.js';
import { silentLogger } from '../../src/log/logger.js';
import type { MonotonicTime } from '../../src/model/time.js';

function createMonitor() {
  let nowMs = 0;
  const errors: object[] = [];
  const log = {
    ...silentLogger,
    error: (fields: object, message: string) => errors.push({ ...fields, message }),
  };
  const monitor = new StepMonitor({ now: () => nowMs as MonotonicTime }, log);
  const work = (durationMs: number) => (): number => (nowMs += durationMs);
  return { monitor, errors, work };
}

describe('StepMonitor', () => {
  // Guards against a process that hangs or is late without a line that says on what.
  it('names the step and the job that held the event loop for more than a second', () => {
    const { monitor, errors, work } = createMonitor();
    monitor.run('jobs added', 'j-000001', work(1000));
    expect(errors).toEqual([]);
    monitor.run('jobs cancelled', 'j-000002', work(1200));
    expect(errors).toEqual([
      { step: 'jobs cancelled', subject: 'j-000002', durationMs: 1200, message: LONG_STEP_MESSAGE },
    ]);
  });

  it('names a step that has thrown, and passes the error on', () => {
    const { monitor, errors, work } = createMonitor();
    const action = (): void => {
      work(3000)();
      throw new RangeError('stack exceeded');
    };
    expect(() => monitor.run('jobs cancelled', 'j-000003', action)).toThrow(RangeError);
    expect(errors).toHaveLength(1);
  });

  it('tells the longest step since the last summary', () => {
    const { monitor, work } = createMonitor();
    monitor.run('jobs added', undefined, work(5));
    monitor.run('dependencies judged', undefined, work(40));
    monitor.run('user request', undefined, work(7));
    expect(monitor.takeLongest()).toEqual({ step: 'dependencies judged', durationMs: 40 });
    expect(monitor.takeLongest()).toBe(null);
  });
});
