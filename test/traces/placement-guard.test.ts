import { beforeEach, describe, expect, it, vi } from 'vitest';
import type * as views from '../../src/leader/placement-views.js';
import type * as rule from '../../src/scheduler/placement-rule.js';
import { Scenario, PLACEMENT_PLAN } from '../simulation/scenario.js';
import { MIXED_SITE } from '../simulation/site-setup.js';
import { SimulatedSite } from '../simulation/simulated-site.js';

type Views = typeof views;
type Rule = typeof rule;

/** Each part of the rule, and a description that lacks it. */
const PARTS = {
  type: (spec: rule.PlacementSpec) => ({ ...spec, allowedTypes: null }),
  zone: (spec: rule.PlacementSpec) => ({ ...spec, zone: null }),
  spot: (spec: rule.PlacementSpec) => ({ ...spec, allowsSpot: true }),
  zoneAffinity: (spec: rule.PlacementSpec) => ({ ...spec, zoneAffinity: false }),
  zoneAntiAffinity: (spec: rule.PlacementSpec) => ({ ...spec, zoneAntiAffinity: false }),
};
type Part = keyof typeof PARTS;

const fault = vi.hoisted(() => ({ part: null as string | null, guarded: true }));

/** A scheduler that leaves one part of the rule out where it chooses machines. */
vi.mock('../../src/leader/placement-views.js', async (importOriginal) => {
  const original = await importOriginal<Views>();
  const jobView: Views['jobView'] = (...given) => {
    const view = original.jobView(...given);
    if (fault.part === null) return view;
    return { ...view, spec: { ...view.spec, ...PARTS[fault.part as Part](view.spec) } };
  };
  return { ...original, jobView };
});

/** The check of orders that leave asks for the whole rule at once: it can be left out alone. */
vi.mock('../../src/scheduler/placement-rule.js', async (importOriginal) => {
  const original = await importOriginal<Rule>();
  const placementRefusal: Rule['placementRefusal'] = (...given) =>
    fault.guarded ? original.placementRefusal(...given) : null;
  return { ...original, placementRefusal };
});

async function brokenOn(part: Part, guarded: boolean): Promise<readonly string[]> {
  Object.assign(fault, { part, guarded });
  const scenario = new Scenario(5, new SimulatedSite(MIXED_SITE), PLACEMENT_PLAN);
  scenario.site.cloud.bootMs = 1200;
  await scenario.run([]);
  return scenario.site.rules.violations;
}

beforeEach(() => Object.assign(fault, { part: null, guarded: true }));

describe.each(Object.keys(PARTS) as Part[])('a scheduler that forgets the part "%s"', (part) => {
  it('is detected by the rule checker', async () => {
    const broken = await brokenOn(part, false);
    expect(broken.some((text) => text.startsWith('wrong_place'))).toBe(true);
  });

  it('starts nothing where it is forbidden: the commands are withheld, and no other rule is violated', async () => {
    const broken = await brokenOn(part, true);
    expect(broken.some((text) => text.startsWith('withheld'))).toBe(true);
    // Jobs that it never places anywhere else wait; none is forgotten, stopped or run twice.
    expect(broken.filter((text) => !/^(withheld|waits)/.test(text))).toEqual([]);
  });
});
