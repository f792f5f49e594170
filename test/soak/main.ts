/**
 * Runs the soak test, which injects random faults into controller processes on loopback:
 * `npm run soak -- --seeds 1-50`. Each seed runs in a child process of its own; `--parallel` sets how many seeds run
 * concurrently. `--broken type|zone|spot|zoneAffinity|zoneAntiAffinity|lookups|pipelines` runs controllers that lack the
 * named part, and passes if the rule checker detects the violation for every seed. Exit codes: 0 passed,
 * 1 failed, 2 invalid arguments.
 */
import { spawn } from 'node:child_process';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { buildProgram, PROGRAM_PARTS, type ProgramPart, violationOf } from './broken-controller.js';
import { runSeed, type SeedResult } from './seed.js';

const EXIT_FAILED = 1;
const EXIT_USAGE = 2;
const SEED_TIMEOUT_MS = 400_000;
const MAX_PRINTED_VIOLATION_COUNT = 5;

/** Thrown for invalid command-line arguments. The message is a single line. */
class InvalidArgumentsError extends Error {
  override readonly name = 'InvalidArgumentsError';
}

interface Arguments {
  readonly seeds: readonly number[];
  readonly parallel: number;
  readonly folder: string;
  readonly missingPart: ProgramPart | null;
  /** The path of the controller program; set only in the child process that runs a single seed. */
  readonly program: string | null;
}

function parseInteger(name: string, text: string, min: number, max: number): number {
  const value = Number(text);
  if (/^\d+$/.test(text) && value >= min && value <= max) return value;
  throw new InvalidArgumentsError(`--${name} must be a whole number from ${min} to ${max}`);
}

function parseSeeds(text: string): number[] {
  const [from = '', to = from, ...extraBounds] = text.split('-');
  if (extraBounds.length > 0)
    throw new InvalidArgumentsError('--seeds must be a whole number or a range such as 1-50');
  const [first, last] = [parseInteger('seeds', from, 1, 1_000_000), parseInteger('seeds', to, 1, 1_000_000)];
  if (last < first)
    throw new InvalidArgumentsError('--seeds must be a range whose end is not below its start');
  return Array.from({ length: last - first + 1 }, (_, index) => first + index);
}

function parseProgramPart(text: string | undefined): ProgramPart | null {
  if (text === undefined) return null;
  const part = PROGRAM_PARTS.find((name) => name === text);
  if (part === undefined)
    throw new InvalidArgumentsError(`--broken must be one of ${PROGRAM_PARTS.join(', ')}`);
  return part;
}

function parseArguments(): Arguments {
  const { values } = parseArgs({
    options: {
      seeds: { type: 'string', default: '1-50' },
      parallel: { type: 'string', default: '4' },
      out: { type: 'string', default: 'target/soak' },
      broken: { type: 'string' },
      program: { type: 'string' },
    },
  });
  return {
    seeds: parseSeeds(values.seeds),
    parallel: parseInteger('parallel', values.parallel, 1, 16),
    folder: values.out,
    missingPart: parseProgramPart(values.broken),
    program: values.program ?? null,
  };
}

/**
 * Runs a seed in a child process. Resolves to null if the child process exits without printing a valid result, for
 * example because it was terminated after `SEED_TIMEOUT_MS`.
 */
function runInChildProcess(
  seed: number,
  program: string,
  { folder, missingPart }: Arguments,
): Promise<SeedResult | null> {
  const script = process.argv[1] as string;
  const args = [script, '--seeds', String(seed), '--out', folder, '--program', program];
  if (missingPart !== null) args.push('--broken', missingPart);
  return new Promise((resolve) => {
    const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'inherit'] });
    let text = '';
    const timeout = setTimeout(() => child.kill('SIGTERM'), SEED_TIMEOUT_MS);
    const killChild = (): void => void child.kill('SIGTERM');
    process.on('exit', killChild);
    child.stdout.setEncoding('utf8');
    child.stdout.on('data', (chunk: string) => (text += chunk));
    child.on('close', () => {
      clearTimeout(timeout);
      process.off('exit', killChild);
      try {
        resolve(JSON.parse(text) as SeedResult);
      } catch {
        resolve(null);
      }
    });
  });
}

function hasPassed(result: SeedResult | null, missingPart: ProgramPart | null): boolean {
  if (result === null) return false;
  if (missingPart === null) return result.violations.length === 0;
  return result.violations.some((text) => text.startsWith(violationOf(missingPart)));
}

function printResult(seed: number, result: SeedResult | null, { folder, missingPart }: Arguments): void {
  const verdict = hasPassed(result, missingPart) ? 'passed' : 'FAILED';
  if (result === null) {
    console.log(`seed ${seed}: FAILED: the child process exited without a valid result`);
    return;
  }
  const {
    machines,
    acceptedCount,
    startCount,
    leadershipCount,
    machinesKnownByTask,
    mixedChunkJobs,
    faults,
  } = result;
  const leadershipSummary =
    `${leadershipCount} leaderships, ${machinesKnownByTask} machines known by a task alone, ` +
    `${mixedChunkJobs} jobs read from several chunk sizes`;
  const runSummary = `${machines} machines, ${acceptedCount} jobs, ${startCount} starts, ${leadershipSummary}`;
  console.log(`seed ${seed}: ${verdict}: ${runSummary}${faults.length > 0 ? `; ${faults.join('; ')}` : ''}`);
  if (hasPassed(result, missingPart)) return;
  for (const text of result.violations.slice(0, MAX_PRINTED_VIOLATION_COUNT)) console.log(`  ${text}`);
  if (result.violations.length > MAX_PRINTED_VIOLATION_COUNT)
    console.log(`  and ${result.violations.length - MAX_PRINTED_VIOLATION_COUNT} more`);
  if (missingPart !== null) return;
  console.log(`  logs and history: ${join(folder, `seed-${seed}-whole`)}`);
  console.log(`  again (the processes' timing differs): npm run soak -- --seeds ${seed}`);
}

async function runAllSeeds(options: Arguments): Promise<void> {
  const program = join(options.folder, `controller-${options.missingPart ?? 'whole'}.cjs`);
  await buildProgram(program, options.missingPart);
  const pendingSeeds = [...options.seeds];
  const failed: number[] = [];
  const runPendingSeeds = async (): Promise<void> => {
    for (let seed = pendingSeeds.shift(); seed !== undefined; seed = pendingSeeds.shift()) {
      const result = await runInChildProcess(seed, program, options);
      printResult(seed, result, options);
      if (!hasPassed(result, options.missingPart)) failed.push(seed);
    }
  };
  await Promise.all(Array.from({ length: options.parallel }, runPendingSeeds));
  const failedSeedList =
    failed.length > 0 ? `: ${failed.sort((left, right) => left - right).join(', ')}` : '';
  console.log(`${options.seeds.length} seeds run, ${failed.length} failed${failedSeedList}`);
  if (failed.length > 0) process.exitCode = EXIT_FAILED;
}

async function runSingleSeed({ seeds, folder, missingPart }: Arguments, program: string): Promise<void> {
  const seed = seeds[0] as number;
  const result = await runSeed({
    seed,
    program,
    folder: join(folder, `seed-${seed}-${missingPart ?? 'whole'}`),
    missingPart,
  });
  process.stdout.write(JSON.stringify(result), () => process.exit(0));
}

async function main(): Promise<void> {
  try {
    const options = parseArguments();
    // A signal does not emit 'exit' by default; calling process.exit runs the 'exit' handlers, which kill the child
    // processes.
    for (const signal of ['SIGINT', 'SIGTERM'] as const) process.on(signal, () => process.exit(EXIT_FAILED));
    await (options.program === null ? runAllSeeds(options) : runSingleSeed(options, options.program));
  } catch (error) {
    console.error(`soak: ${error instanceof Error ? error.message : String(error)}`);
    const isUsageError =
      error instanceof InvalidArgumentsError ||
      (error as { code?: string }).code?.startsWith('ERR_PARSE_ARGS');
    process.exit(isUsageError ? EXIT_USAGE : EXIT_FAILED);
  }
}

void main();
