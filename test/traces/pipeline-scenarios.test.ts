import { describe, expect, it } from 'vitest';
import { FAULTS, type Fault } from '../simulation/faults.js';
import { DEFAULT_PLAN, type PipelineShape, Scenario } from '../simulation/scenario.js';
import { SimulatedSite } from '../simulation/simulated-site.js';

const TEST_TIMEOUT_MS = 180_000;
const LEADER_CHANGES = FAULTS.filter(({ name }) => name.startsWith('leaders change'));
const ALL_DOWN = FAULTS.filter(({ name }) => name.startsWith('all controllers are down'));

/** Wide, deep and both; a job of the last, of a middle and of the first stage is cancelled. */
const SHAPES: readonly (readonly [string, PipelineShape])[] = [
  ['the last job of a wide and deep pipeline', { stageCount: 12, jobCount: 6, cancelledStage: 11 }],
  ['a job in the middle of a deep pipeline', { stageCount: 40, jobCount: 1, cancelledStage: 20 }],
  ['a job of the first stage of a wide pipeline', { stageCount: 3, jobCount: 24, cancelledStage: 0 }],
];

async function runScenario(
  seed: number,
  pipeline: PipelineShape,
  faults: readonly Fault[],
): Promise<readonly string[]> {
  const site = new SimulatedSite();
  const plan = { ...DEFAULT_PLAN, pipelines: [pipeline], quietBeforeS: 60 };
  const scenario = new Scenario(seed, site, plan);
  await scenario.run(faults);
  expect(scenario.acceptedCount).toBeGreaterThan(pipeline.stageCount * pipeline.jobCount);
  return site.rules.violations;
}

describe('pipelines that wait and are polled while leaders change', { timeout: TEST_TIMEOUT_MS }, () => {
  // Guards against leaders that hang one after the other, and against polls that no controller answers.
  it.each(SHAPES)('stay known, and are cancelled as far as %s asks', async (_name, pipeline) => {
    expect(await runScenario(48, pipeline, LEADER_CHANGES)).toEqual([]);
    expect(await runScenario(49, pipeline, ALL_DOWN)).toEqual([]);
  });
});
