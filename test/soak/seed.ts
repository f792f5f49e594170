/** One seed of the soak: a day of users on real processes, with troubles that overlap. */
import { mkdirSync, rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { PLACEMENT_PLAN, Scenario, type ScenarioPlan } from '../simulation/scenario.js';
import { type Fault, FAULTS } from '../simulation/faults.js';
import type { RulePart } from './broken-controller.js';
import { LoopbackSite } from './loopback-site.js';
import { soakTroubles } from './soak-faults.js';

/** What one run is made of. */
export interface SeedOptions {
  readonly seed: number;
  readonly program: string;
  readonly folder: string;
  /** The part of the rule that the program lacks: the run is over once it is caught. */
  readonly broken: RulePart | null;
}

/** What came of it. */
export interface SeedResult {
  readonly seed: number;
  readonly troubles: readonly string[];
  readonly machines: number;
  readonly accepted: number;
  readonly starts: number;
  readonly leaderships: number;
  /** Machines that new leaders knew by a task alone: what issue 30 was about. */
  readonly unknownMachines: number;
  readonly broken: readonly string[];
}

/** Every so many seeds have a large site. */
const LARGE_EVERY = 10;
const LARGE = { machines: 300, limit: 1200, maxTasks: 40 };
const SMALL = { machines: 3, limit: 96, maxTasks: 6 };
const CONTROLLERS = 3;
const FIVE_EVERY = 7;
const MANY_CONTROLLERS = 5;
const TROUBLES_AT_ONCE = 3;
const LEADERS_CHANGE_SHARE = 0.7;
const QUIET_S = 14;
/** Above a cancellation's limit and a lease. */
const WATCHED_S = 46;
const CAUGHT_WITHIN_S = 240;

function draw(site: LoopbackSite, all: readonly Fault[]): Fault[] {
  const { random } = site;
  const [leadersChange] = FAULTS;
  const drawn: Fault[] = random() < LEADERS_CHANGE_SHARE && leadersChange ? [leadersChange] : [];
  while (drawn.length < TROUBLES_AT_ONCE) {
    const trouble = all[Math.floor(random() * all.length)] as Fault;
    if (!drawn.includes(trouble)) drawn.push(trouble);
  }
  return drawn;
}

/** Plays one seed to its end; what is drawn is the same each time, the processes' timing is not. */
export async function runSeed({ seed, program, folder, broken }: SeedOptions): Promise<SeedResult> {
  const size = seed % LARGE_EVERY === 0 ? LARGE : SMALL;
  const controllers = seed % FIVE_EVERY === 0 ? MANY_CONTROLLERS : CONTROLLERS;
  rmSync(folder, { recursive: true, force: true });
  mkdirSync(folder, { recursive: true });
  const site = await LoopbackSite.open({ seed, controllers, program, folder, ...size });
  const troubles = broken === null ? draw(site, [...FAULTS, ...soakTroubles(site)]) : [];
  const plan: ScenarioPlan = {
    ...PLACEMENT_PLAN,
    maxTasks: size.maxTasks,
    quietBeforeS: QUIET_S,
    minAfterS: WATCHED_S,
  };
  const day = new Scenario(seed, site, broken === null ? plan : { ...plan, quietBeforeS: CAUGHT_WITHIN_S });
  const caught = new Promise<void>((resolve) => {
    if (broken === null) return;
    site.rules.onViolation = (text) => {
      if (text.startsWith('wrong_place')) resolve();
    };
  });
  await Promise.race([day.run(troubles), caught]);
  await site.close();
  const { rules } = site;
  if (rules.violations.length === 0 || broken !== null) rmSync(folder, { recursive: true, force: true });
  else writeFileSync(join(folder, 'history.txt'), site.text);
  return {
    seed,
    troubles: troubles.map(({ name }) => name),
    machines: size.machines,
    accepted: day.acceptedCount,
    starts: rules.startCount,
    leaderships: site.controllers.leaderships,
    unknownMachines: site.controllers.unknownMachines,
    broken: rules.violations,
  };
}
