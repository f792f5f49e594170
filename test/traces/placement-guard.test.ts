import { beforeEach, describe, expect, it, vi } from 'vitest';
import type * as placementViews from '../../src/leader/placement-views.js';
import type * as placementRule from '../../src/scheduler/placement-rule.js';
import { Scenario, PLACEMENT_PLAN } from '../simulation/scenario.js';
import { MIXED_SITE } from '../simulation/site-setup.js';
import { SimulatedSite } from '../simulation/simulated-site.js';

type PlacementViews = typeof placementViews;
type PlacementRule = typeof placementRule;

/** For each placement constraint, a function that removes the constraint from a placement specification. */
const CONSTRAINT_REMOVERS = {
  type: (spec: placementRule.PlacementSpec) => ({ ...spec, allowedTypes: null }),
  zone: (spec: placementRule.PlacementSpec) => ({ ...spec, zone: null }),
  spot: (spec: placementRule.PlacementSpec) => ({ ...spec, allowsSpot: true }),
  zoneAffinity: (spec: placementRule.PlacementSpec) => ({ ...spec, zoneAffinity: false }),
  zoneAntiAffinity: (spec: placementRule.PlacementSpec) => ({ ...spec, zoneAntiAffinity: false }),
};
type Constraint = keyof typeof CONSTRAINT_REMOVERS;

const fault = vi.hoisted(() => ({ constraint: null as string | null, guarded: true }));

/** Makes the scheduler ignore one placement constraint when it selects machines. */
vi.mock('../../src/leader/placement-views.js', async (importOriginal) => {
  const original = await importOriginal<PlacementViews>();
  const jobView: PlacementViews['jobView'] = (...args) => {
    const view = original.jobView(...args);
    if (fault.constraint === null) return view;
    return {
      ...view,
      spec: { ...view.spec, ...CONSTRAINT_REMOVERS[fault.constraint as Constraint](view.spec) },
    };
  };
  return { ...original, jobView };
});

/** Makes it possible to disable only the check of all placement constraints before a start command is sent. */
vi.mock('../../src/scheduler/placement-rule.js', async (importOriginal) => {
  const original = await importOriginal<PlacementRule>();
  const placementRefusal: PlacementRule['placementRefusal'] = (...args) =>
    fault.guarded ? original.placementRefusal(...args) : null;
  return { ...original, placementRefusal };
});

/**
 * Runs a scenario with a scheduler that ignores one constraint, and returns the violations of the rules. If `guarded`
 * is false, start commands are sent without the last check of the constraints.
 */
async function violationsWithout(constraint: Constraint, guarded: boolean): Promise<readonly string[]> {
  Object.assign(fault, { constraint, guarded });
  const scenario = new Scenario(5, new SimulatedSite(MIXED_SITE), PLACEMENT_PLAN);
  scenario.site.cloud.bootMs = 1200;
  await scenario.run([]);
  return scenario.site.rules.violations;
}

beforeEach(() => Object.assign(fault, { constraint: null, guarded: true }));

describe.each(Object.keys(CONSTRAINT_REMOVERS) as Constraint[])(
  'a scheduler that ignores the placement constraint "%s"',
  (constraint) => {
    it('is detected by the rule checker', async () => {
      const violations = await violationsWithout(constraint, false);
      expect(violations.some((text) => text.startsWith('wrong_place'))).toBe(true);
    });

    it('starts no task on a forbidden machine: the start commands are withheld, and no other rule is violated', async () => {
      const violations = await violationsWithout(constraint, true);
      expect(violations.some((text) => text.startsWith('withheld'))).toBe(true);
      // Jobs for which the scheduler selects no allowed machine wait; no job is lost, stopped or run twice.
      expect(violations.filter((text) => !/^(withheld|waits)/.test(text))).toEqual([]);
    });
  },
);
