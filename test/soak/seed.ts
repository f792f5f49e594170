/** Runs the soak test for a seed: a scenario on real processes with concurrent faults. */
import { mkdirSync, rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { type PipelineShape, PLACEMENT_PLAN, Scenario, type ScenarioPlan } from '../simulation/scenario.js';
import { FAILING_MACHINES, type Fault, FAULTS } from '../simulation/faults.js';
import { LOOKUP_PART, PIPELINE_PART, type ProgramPart, violationOf } from './broken-controller.js';
import { LoopbackSite } from './loopback-site.js';
import { restartsOfAll, soakFaults, storeLimitChanges } from './soak-faults.js';

/** The options of `runSeed`. */
export interface SeedOptions {
  readonly seed: number;
  readonly program: string;
  readonly folder: string;
  /**
   * The part that the program lacks, or null for the full program. If set, the run ends once the rule checker detects
   * the violation, and injects no faults except the restarts of all controllers without `LOOKUP_PART`.
   */
  readonly missingPart: ProgramPart | null;
}

/** The result of a seed's run, which the child process writes to stdout as JSON. */
export interface SeedResult {
  readonly seed: number;
  readonly faults: readonly string[];
  readonly machines: number;
  readonly acceptedCount: number;
  readonly startCount: number;
  readonly leadershipCount: number;
  /** The number of times that a newly elected leader knew a machine only from a task record (issue 30). */
  readonly machinesKnownByTask: number;
  /** The number of times that a newly elected leader read a job's progress from records of several chunk sizes. */
  readonly mixedChunkJobs: number;
  readonly violations: readonly string[];
}

/** Seeds that are multiples of 10 run on a large site. */
const LARGE_SITE_INTERVAL = 10;
const LARGE_SITE = { machines: 300, teamCpuLimit: 1200, maxTasks: 40 };
const SMALL_SITE = { machines: 3, teamCpuLimit: 96, maxTasks: 6 };
/**
 * Every fifth seed, from seed 3 on, runs with low size limits of the key-value store and machine IDs of 120 digits.
 * Such IDs make the entries of a record larger than the controllers estimate, so that records exceed the limits.
 */
const LOW_LIMITS_INTERVAL = 5;
const FIRST_LOW_LIMITS_SEED = 3;
const LOW_LIMITS_SITE = { machines: 12, teamCpuLimit: 480, maxTasks: 40 };
/**
 * Every fifth seed, from seed 1 on, and each second one on the large site have a backlog of open jobs that all are queried,
 * and a key-value store that enforces its rates: reading each job by itself would take each controller 75 s.
 */
const BACKLOG_INTERVAL = 5;
const FIRST_BACKLOG_SEED = 1;
const LARGE_BACKLOG_INTERVAL = 20;
const BACKLOG_JOB_COUNT = 500;
const BACKLOG_STORE_RATES = { rps: 80, writeRps: 60 };
/** Every fifth seed, from seed 2 on, has pipelines of several shapes that wait while leaders change. */
const PIPELINE_INTERVAL = 5;
const FIRST_PIPELINE_SEED = 2;
const PIPELINES: readonly PipelineShape[] = [
  { stageCount: 12, jobCount: 6, cancelledStage: 11 },
  { stageCount: 30, jobCount: 1, cancelledStage: 15 },
  { stageCount: 3, jobCount: 16, cancelledStage: 0 },
];
/** On every fifth seed, from seed 4 on, most machines fail the tasks that they start for some time, besides the drawn faults. */
const FAILING_MACHINES_INTERVAL = 5;
const FIRST_FAILING_MACHINES_SEED = 4;
/** In seconds of the scenario clock: the backlog is submitted before the faults, and checked for 75 s after them. */
const QUIET_BEFORE_FAULTS_WITH_BACKLOG_S = 60;
const MIN_AFTER_FAULTS_WITH_BACKLOG_S = 85;
const DEFAULT_ID_DIGITS = 6;
const LONG_ID_DIGITS = 120;
const DEFAULT_CONTROLLER_COUNT = 3;
const LARGE_CONTROLLER_COUNT_INTERVAL = 7;
const LARGE_CONTROLLER_COUNT = 5;
const CONCURRENT_FAULT_COUNT = 3;
const LEADER_CHANGE_PROBABILITY = 0.7;
const QUIET_BEFORE_FAULTS_S = 14;
/**
 * The minimum time after the faults, in seconds of the scenario clock. Longer than the cancellation deadline, and
 * longer than a lease.
 */
const MIN_AFTER_FAULTS_S = 46;
const MAX_VIOLATION_DETECTION_S = 240;

function hasLowLimits(seed: number): boolean {
  return seed % LOW_LIMITS_INTERVAL === FIRST_LOW_LIMITS_SEED;
}

function hasBacklog(seed: number): boolean {
  return seed % BACKLOG_INTERVAL === FIRST_BACKLOG_SEED || seed % LARGE_BACKLOG_INTERVAL === 0;
}

function hasPipelines(seed: number): boolean {
  return seed % PIPELINE_INTERVAL === FIRST_PIPELINE_SEED;
}

function sizeOf(seed: number, usesLowLimits: boolean): typeof SMALL_SITE {
  if (seed % LARGE_SITE_INTERVAL === 0) return LARGE_SITE;
  return usesLowLimits ? LOW_LIMITS_SITE : SMALL_SITE;
}

function drawFaults(seed: number, site: LoopbackSite): Fault[] {
  const { random } = site;
  const candidates = [...FAULTS, ...soakFaults(site)];
  const [leaderChange] = FAULTS;
  const changesLeader = random() < LEADER_CHANGE_PROBABILITY || hasPipelines(seed);
  const drawnFaults: Fault[] = changesLeader && leaderChange ? [leaderChange] : [];
  if (hasLowLimits(seed)) drawnFaults.push(storeLimitChanges(site));
  while (drawnFaults.length < CONCURRENT_FAULT_COUNT) {
    const fault = candidates[Math.floor(random() * candidates.length)] as Fault;
    if (!drawnFaults.includes(fault)) drawnFaults.push(fault);
  }
  if (seed % FAILING_MACHINES_INTERVAL === FIRST_FAILING_MACHINES_SEED) drawnFaults.push(FAILING_MACHINES);
  return drawnFaults;
}

/** What a seed runs besides the random jobs; a program without a part gets only what shows the missing part. */
interface SeedFeatures {
  readonly usesLowLimits: boolean;
  readonly usesBacklog: boolean;
  readonly usesPipelines: boolean;
}

function featuresOf(seed: number, missingPart: ProgramPart | null): SeedFeatures {
  if (missingPart !== null) {
    return {
      usesLowLimits: false,
      usesBacklog: missingPart === LOOKUP_PART,
      usesPipelines: missingPart === PIPELINE_PART,
    };
  }
  return {
    usesLowLimits: hasLowLimits(seed),
    usesBacklog: hasBacklog(seed),
    usesPipelines: hasPipelines(seed),
  };
}

function planOf({ usesBacklog, usesPipelines }: SeedFeatures, maxTasks: number): ScenarioPlan {
  const isPolledAfterwards = usesBacklog || usesPipelines;
  return {
    ...PLACEMENT_PLAN,
    maxTasks,
    quietBeforeS: isPolledAfterwards ? QUIET_BEFORE_FAULTS_WITH_BACKLOG_S : QUIET_BEFORE_FAULTS_S,
    minAfterS: isPolledAfterwards ? MIN_AFTER_FAULTS_WITH_BACKLOG_S : MIN_AFTER_FAULTS_S,
    backlogJobCount: usesBacklog ? BACKLOG_JOB_COUNT : 0,
    pipelines: usesPipelines ? PIPELINES : [],
  };
}

function openSite(
  { seed, program, folder }: SeedOptions,
  size: typeof SMALL_SITE,
  { usesLowLimits, usesBacklog }: SeedFeatures,
): Promise<LoopbackSite> {
  const isLarge = seed % LARGE_CONTROLLER_COUNT_INTERVAL === 0;
  return LoopbackSite.open({
    seed,
    controllers: isLarge ? LARGE_CONTROLLER_COUNT : DEFAULT_CONTROLLER_COUNT,
    program,
    folder,
    ...size,
    idDigits: usesLowLimits ? LONG_ID_DIGITS : DEFAULT_ID_DIGITS,
    hasLowLimits: usesLowLimits,
    storeRates: usesBacklog ? BACKLOG_STORE_RATES : null,
  });
}

/**
 * Runs the scenario of a seed. A seed repeats the site's size, the faults and the sequences of random numbers; the
 * timing of the processes varies, and with it the choices for which the numbers are used.
 */
export async function runSeed(options: SeedOptions): Promise<SeedResult> {
  const { seed, folder, missingPart } = options;
  const features = featuresOf(seed, missingPart);
  const size = sizeOf(seed, features.usesLowLimits);
  rmSync(folder, { recursive: true, force: true });
  mkdirSync(folder, { recursive: true });
  const site = await openSite(options, size, features);
  const faults = missingPart === null ? drawFaults(seed, site) : [];
  if (features.usesBacklog) faults.unshift(restartsOfAll(site));
  const plan = planOf(features, size.maxTasks);
  const breaksPlacement = missingPart !== null && violationOf(missingPart) === 'wrong_place';
  const scenario = new Scenario(
    seed,
    site,
    breaksPlacement ? { ...plan, quietBeforeS: MAX_VIOLATION_DETECTION_S } : plan,
  );
  const detected = new Promise<void>((resolve) => {
    if (missingPart === null) return;
    site.rules.onViolation = (text) => {
      if (text.startsWith(violationOf(missingPart))) resolve();
    };
  });
  await Promise.race([scenario.run(faults), detected]);
  await site.close();
  const { rules } = site;
  if (rules.violations.length === 0 || missingPart !== null) rmSync(folder, { recursive: true, force: true });
  else writeFileSync(join(folder, 'history.txt'), site.traceText);
  return {
    seed,
    faults: faults.map(({ name }) => name),
    machines: size.machines,
    acceptedCount: scenario.acceptedCount,
    startCount: rules.startCount,
    leadershipCount: site.controllers.leadershipCount,
    machinesKnownByTask: site.controllers.machinesKnownByTask,
    mixedChunkJobs: site.controllers.mixedChunkJobs,
    violations: rules.violations,
  };
}
