import { describe, expect, it } from 'vitest';
import { seconds } from '../../src/model/time.js';
import { SloTargets } from '../../src/scheduler/slo-targets.js';
import { submission } from '../simulation/submission.js';

/** An array job of class `batch` without a deadline of its own. */
const SPEC = submission({});

describe('SloTargets', () => {
  const targets = new SloTargets([
    { kind: 'finished', jobClass: 'batch', target: seconds(60), share: 0.9 },
    { kind: 'finished', jobClass: 'batch', target: seconds(120), share: 0.95 },
    { kind: 'wait', jobClass: 'batch', target: seconds(50), share: 0.99 },
  ]);

  it('moves on to the next completion target once a target can no longer be met', () => {
    // 60 s − 30 s · 1.25 − 4 s for the image fetch
    expect(targets.nextCompletionTarget(SPEC, 0, 30_000)?.slackMs).toBe(18_500);
    expect(targets.nextCompletionTarget(SPEC, 20_000, 30_000)?.slackMs).toBe(58_500);
    expect(targets.nextCompletionTarget(SPEC, 100_000, 30_000)).toBeNull();
  });

  it('includes the start targets in the slack until these can no longer be met', () => {
    expect(targets.slackMs(SPEC, 0, 30_000)).toBe(18_500);
    // The completion target of 120 s alone would let the job wait for 58.5 s more, until 78.5 s after its submission.
    expect(targets.slackMs(SPEC, 20_000, 30_000)).toBe(26_000);
    expect(targets.slackMs(SPEC, 47_000, 30_000)).toBe(31_500);
    expect(targets.slackMs(SPEC, 100_000, 30_000)).toBeNull();
  });
});
