/**
 * The program behind `npm run measure:takeover`. Measures takeover times by stage on this machine, with the failure
 * detector and by lease expiry alone. The program runs too long for CI.
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import { cpus } from 'node:os';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { build as buildHistogram, type Histogram } from 'hdr-histogram-js';
import { DEFAULT_TUNING, type MembershipTuning } from '@plumyoke/membership';
import { buildController } from '../loopback/build-controller.js';
import { FailoverMode } from '../loopback/protocol.js';
import { HostLoad } from './host-load.js';
import { FAILURE_KINDS, type FailureKind } from './failure-kinds.js';
import { renderBarPlot, renderPage, renderTable, renderLinePlot } from './report.js';
import { type TakeoverTimes, Trial } from './trial.js';

/** The path of the controller's source, relative to the repository's root, where `npm run` starts. */
const CONTROLLER_SOURCE = 'packages/simulation/src/loopback/controller-main.ts';
const PERCENTILES = [50, 90, 99];
const CURVE_STEP_PERCENT = 2;
const HOUR_MS = 3_600_000;
const STAGES = ['suspectMs', 'failedMs', 'claimedMs', 'servingMs'] as const;
type Stage = (typeof STAGES)[number];

/** A combination of failover mode, cluster size, failure kind and load that is measured. */
interface TrialSetup {
  readonly mode: FailoverMode;
  readonly controllers: number;
  readonly kind: FailureKind;
  /** The number of processes that keep processors busy during the measurement. */
  readonly load: number;
}

interface SetupResult extends TrialSetup {
  readonly histograms: Readonly<Record<Stage, Histogram>>;
  readonly failures: number;
  /** The number of takeovers that were not completed before the trial's wait timed out. */
  readonly missing: number;
}

interface MeasureOptions {
  readonly failures: number;
  readonly parallel: number;
  readonly sizes: readonly number[];
  readonly loads: readonly number[];
  readonly quietMs: number;
  readonly folder: string;
  readonly modes: readonly FailoverMode[];
  readonly tuning: MembershipTuning;
}

function parseOptions(): MeasureOptions {
  const { values } = parseArgs({
    options: {
      failures: { type: 'string', default: '200' },
      parallel: { type: 'string', default: '10' },
      sizes: { type: 'string', default: '3,5' },
      loads: { type: 'string', default: '0,16' },
      'quiet-s': { type: 'string', default: '60' },
      out: { type: 'string', default: 'target' },
      modes: { type: 'string', default: Object.values(FailoverMode).join(',') },
      'probe-ms': { type: 'string', default: String(DEFAULT_TUNING.probeIntervalMs) },
      'timeout-ms': { type: 'string', default: String(DEFAULT_TUNING.probeTimeoutMs) },
      'suspicion-ms': { type: 'string', default: String(DEFAULT_TUNING.suspicionMs) },
    },
  });
  const parseNumbers = (text: string): number[] => text.split(',').map(Number);
  return {
    failures: Number(values.failures),
    parallel: Number(values.parallel),
    sizes: parseNumbers(values.sizes),
    loads: parseNumbers(values.loads),
    quietMs: Number(values['quiet-s']) * 1000,
    folder: values.out,
    modes: values.modes.split(',') as FailoverMode[],
    tuning: {
      ...DEFAULT_TUNING,
      probeIntervalMs: Number(values['probe-ms']),
      probeTimeoutMs: Number(values['timeout-ms']),
      suspicionMs: Number(values['suspicion-ms']),
    },
  };
}

function createSetups({ sizes, loads, modes }: MeasureOptions): TrialSetup[] {
  const combinations: TrialSetup[] = [];
  for (const load of loads) {
    for (const controllers of sizes) {
      for (const kind of FAILURE_KINDS) {
        for (const mode of modes) combinations.push({ mode, controllers, kind, load });
      }
    }
  }
  return combinations;
}

async function measureSetup(
  setup: TrialSetup,
  { failures, parallel, tuning }: MeasureOptions,
  program: string,
): Promise<SetupResult> {
  const failuresPerTrial = Math.ceil(failures / parallel);
  const load = new HostLoad(setup.load);
  try {
    const trials = Array.from({ length: parallel }, () =>
      new Trial({ ...setup, failures: failuresPerTrial, program, tuning }).run(),
    );
    return summarizeTimes(setup, (await Promise.all(trials)).flat());
  } finally {
    load.stop();
  }
}

function summarizeTimes(setup: TrialSetup, times: readonly TakeoverTimes[]): SetupResult {
  const histogramOf = (stage: Stage): Histogram => {
    const histogram = buildHistogram();
    for (const time of times) {
      const value = time[stage];
      if (value !== null) histogram.recordValue(Math.max(0, Math.round(value)));
    }
    return histogram;
  };
  const histograms = Object.fromEntries(STAGES.map((stage) => [stage, histogramOf(stage)])) as Record<
    Stage,
    Histogram
  >;
  const missing = times.filter(({ servingMs }) => servingMs === null).length;
  return { ...setup, histograms, failures: times.length, missing };
}

/** Runs `parallel` clusters without failures. Resolves to the number of suspicions in each cluster. */
async function countFalseSuspicions(
  { parallel, quietMs, tuning }: MeasureOptions,
  program: string,
  controllers: number,
  load: number,
): Promise<number[]> {
  const kind = FAILURE_KINDS[0] as FailureKind;
  const setup = { mode: FailoverMode.Membership, controllers, kind, failures: 0, program, tuning };
  const hostLoad = new HostLoad(load);
  try {
    const trials = Array.from({ length: parallel }, () => new Trial(setup).countFalseSuspicions(quietMs));
    return await Promise.all(trials);
  } finally {
    hostLoad.stop();
  }
}

async function measureFalseSuspicions(options: MeasureOptions, program: string): Promise<string[][]> {
  const rows: string[][] = [];
  for (const load of options.loads) {
    for (const controllers of options.sizes) {
      const counts = await countFalseSuspicions(options, program, controllers, load);
      const hours = (options.quietMs * options.parallel) / HOUR_MS;
      const total = counts.reduce((sum, count) => sum + count, 0);
      rows.push([
        `${controllers} controllers, load ${load}`,
        String(total),
        hours.toFixed(2),
        (total / hours).toFixed(1),
      ]);
    }
  }
  return rows;
}

const describeSetup = ({ kind, controllers, load, mode }: TrialSetup): string =>
  `${kind.name}, ${controllers} controllers, load ${load}, ${mode}`;

function percentileCells(result: SetupResult, stage: Stage): string[] {
  const histogram = result.histograms[stage];
  if (histogram.totalCount === 0) return PERCENTILES.map(() => '-');
  return PERCENTILES.map((percentile) => String(histogram.getValueAtPercentile(percentile)));
}

function cumulativeCurve(result: SetupResult): [number, number][] {
  const points: [number, number][] = [];
  for (let percentile = 0; percentile <= 100; percentile += CURVE_STEP_PERCENT) {
    points.push([result.histograms.servingMs.getValueAtPercentile(percentile), percentile]);
  }
  return points;
}

function renderPlots(results: readonly SetupResult[]): string[] {
  return FAILURE_KINDS.flatMap((kind) => {
    const kindResults = results.filter((result) => result.kind === kind);
    const categories = [
      ...new Set(kindResults.map(({ controllers, load }) => `${controllers} controllers, load ${load}`)),
    ];
    const medians = (mode: FailoverMode): (number | null)[] =>
      kindResults
        .filter((result) => result.mode === mode)
        .map(({ histograms }) => histograms.servingMs.getValueAtPercentile(50));
    return [
      renderBarPlot(`${kind.name}: median time until another controller serves`, 'ms', categories, [
        { name: 'failure detector', values: medians(FailoverMode.Membership) },
        { name: 'lease expiry alone', values: medians(FailoverMode.LeaseOnly) },
      ]),
      renderLinePlot(
        `${kind.name}: share of takeovers completed within this time`,
        'ms',
        '%',
        kindResults.map((result) => ({ name: describeSetup(result), points: cumulativeCurve(result) })),
      ),
    ];
  });
}

async function main(): Promise<void> {
  const options = parseOptions();
  const program = await buildController(CONTROLLER_SOURCE);
  const results: SetupResult[] = [];
  for (const setup of createSetups(options)) {
    const result = await measureSetup(setup, options, program);
    results.push(result);
    const serving = percentileCells(result, 'servingMs').join(' / ');
    process.stdout.write(
      `${describeSetup(setup)}: ${result.failures} failures, ${result.missing} not taken over, serving after ${serving} ms\n`,
    );
  }
  const falseSuspicionRows = await measureFalseSuspicions(options, program);
  for (const [name, total, hours, rate] of falseSuspicionRows) {
    process.stdout.write(`quiet, ${name}: ${total} suspicions in ${hours} cluster hours, ${rate} per hour\n`);
  }
  const header = [
    'setup',
    'failures',
    'missing',
    ...STAGES.flatMap((stage) => PERCENTILES.map((percentile) => `${stage.slice(0, -2)} p${percentile}`)),
  ];
  const rows = results.map((result) => [
    describeSetup(result),
    String(result.failures),
    String(result.missing),
    ...STAGES.flatMap((stage) => percentileCells(result, stage)),
  ]);
  const page = renderPage(
    'Takeovers by simulated controllers',
    `Milliseconds from the failure. All processes ran on this one machine (${cpus().length} cores) over loopback, ${options.parallel} clusters at once; "load" is the number of busy processes beside them; probes every ${options.tuning.probeIntervalMs} ms, suspicion ${options.tuning.suspicionMs} ms. Times on separate machines will differ.`,
    [
      renderTable(header, rows),
      renderTable(['quiet clusters', 'suspicions', 'hours', 'per hour'], falseSuspicionRows),
      ...renderPlots(results),
    ],
  );
  mkdirSync(options.folder, { recursive: true });
  const path = join(options.folder, 'takeover.html');
  writeFileSync(path, page);
  process.stdout.write(`report: ${path}\n`);
}

// Signals exit through `process.exit`, whose `exit` event kills the child processes of all clusters, even paused ones.
process.once('SIGINT', () => process.exit(130));
process.once('SIGTERM', () => process.exit(143));

void main();
