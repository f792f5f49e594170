/**
 * Random fault test on real processes over loopback: `npm run soak -- --seeds 1-50`. Each seed runs in a process of its
 * own, some at once. `--broken type|zone|spot|oneZone|spread` runs controllers that lack this part of the placement
 * rule, and is passed if every seed catches them. Exit codes: 0 passed, 1 a rule was broken, 2 bad arguments.
 */
import { spawn } from 'node:child_process';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { buildProgram, RULE_PARTS, type RulePart } from './broken-controller.js';
import { runSeed, type SeedResult } from './seed.js';

const EXIT_BROKEN = 1;
const EXIT_USAGE = 2;
const SEED_LIMIT_MS = 400_000;
const SHOWN_BREACHES = 5;

/** Arguments that cannot be used; the message is one line. */
class BadArguments extends Error {}

interface Arguments {
  readonly seeds: readonly number[];
  readonly parallel: number;
  readonly folder: string;
  readonly broken: RulePart | null;
  /** Set in the process of one seed: the controllers' program. */
  readonly program: string | null;
}

function whole(name: string, text: string, least: number, most: number): number {
  const value = Number(text);
  if (/^\d+$/.test(text) && value >= least && value <= most) return value;
  throw new BadArguments(`--${name}: a whole number from ${least} to ${most}`);
}

function seedsOf(text: string): number[] {
  const [from = '', to = from, ...rest] = text.split('-');
  if (rest.length > 0) throw new BadArguments('--seeds: a number, or a range as 1-50');
  const [first, last] = [whole('seeds', from, 1, 1_000_000), whole('seeds', to, 1, 1_000_000)];
  if (last < first) throw new BadArguments('--seeds: the range ends before it begins');
  return Array.from({ length: last - first + 1 }, (_, n) => first + n);
}

function partOf(text: string | undefined): RulePart | null {
  if (text === undefined) return null;
  const part = RULE_PARTS.find((name) => name === text);
  if (part === undefined) throw new BadArguments(`--broken: one of ${RULE_PARTS.join(', ')}`);
  return part;
}

function readArguments(): Arguments {
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
    seeds: seedsOf(values.seeds),
    parallel: whole('parallel', values.parallel, 1, 16),
    folder: values.out,
    broken: partOf(values.broken),
    program: values.program ?? null,
  };
}

/** One seed in a process of its own; null: it came to no end. */
function inOwnProcess(
  seed: number,
  program: string,
  { folder, broken }: Arguments,
): Promise<SeedResult | null> {
  const script = process.argv[1] as string;
  const args = [script, '--seeds', String(seed), '--out', folder, '--program', program];
  if (broken !== null) args.push('--broken', broken);
  return new Promise((resolve) => {
    const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'inherit'] });
    let text = '';
    const late = setTimeout(() => child.kill('SIGTERM'), SEED_LIMIT_MS);
    const endChild = (): void => void child.kill('SIGTERM');
    process.on('exit', endChild);
    child.stdout.setEncoding('utf8');
    child.stdout.on('data', (part: string) => (text += part));
    child.on('close', () => {
      clearTimeout(late);
      process.off('exit', endChild);
      try {
        resolve(JSON.parse(text) as SeedResult);
      } catch {
        resolve(null);
      }
    });
  });
}

function passed(result: SeedResult | null, broken: RulePart | null): boolean {
  if (result === null) return false;
  if (broken === null) return result.broken.length === 0;
  return result.broken.some((text) => text.startsWith('wrong_place'));
}

function tell(seed: number, result: SeedResult | null, { folder, broken }: Arguments): void {
  const verdict = passed(result, broken) ? 'passed' : 'FAILED';
  if (result === null) {
    console.log(`seed ${seed}: FAILED: it came to no end`);
    return;
  }
  const { machines, accepted, starts, leaderships, unknownMachines, troubles } = result;
  const met = `${leaderships} leaderships, ${unknownMachines} machines known by a task alone`;
  const size = `${machines} machines, ${accepted} jobs, ${starts} starts, ${met}`;
  console.log(`seed ${seed}: ${verdict}: ${size}${troubles.length > 0 ? `; ${troubles.join('; ')}` : ''}`);
  if (passed(result, broken)) return;
  for (const text of result.broken.slice(0, SHOWN_BREACHES)) console.log(`  ${text}`);
  if (result.broken.length > SHOWN_BREACHES)
    console.log(`  and ${result.broken.length - SHOWN_BREACHES} more`);
  if (broken !== null) return;
  console.log(`  logs and history: ${join(folder, `seed-${seed}-whole`)}`);
  console.log(`  again (the processes' timing differs): npm run soak -- --seeds ${seed}`);
}

async function runAll(given: Arguments): Promise<void> {
  const program = join(given.folder, `controller-${given.broken ?? 'whole'}.cjs`);
  await buildProgram(program, given.broken);
  const waiting = [...given.seeds];
  const failed: number[] = [];
  const work = async (): Promise<void> => {
    for (let seed = waiting.shift(); seed !== undefined; seed = waiting.shift()) {
      const result = await inOwnProcess(seed, program, given);
      tell(seed, result, given);
      if (!passed(result, given.broken)) failed.push(seed);
    }
  };
  await Promise.all(Array.from({ length: given.parallel }, work));
  const list = failed.length > 0 ? `: ${failed.sort((a, b) => a - b).join(', ')}` : '';
  console.log(`${given.seeds.length} seeds run, ${failed.length} failed${list}`);
  if (failed.length > 0) process.exitCode = EXIT_BROKEN;
}

async function runOne({ seeds, folder, broken }: Arguments, program: string): Promise<void> {
  const seed = seeds[0] as number;
  const result = await runSeed({
    seed,
    program,
    folder: join(folder, `seed-${seed}-${broken ?? 'whole'}`),
    broken,
  });
  process.stdout.write(JSON.stringify(result), () => process.exit(0));
}

async function main(): Promise<void> {
  try {
    const given = readArguments();
    // What runs on 'exit' ends the children.
    for (const signal of ['SIGINT', 'SIGTERM'] as const) process.on(signal, () => process.exit(EXIT_BROKEN));
    await (given.program === null ? runAll(given) : runOne(given, given.program));
  } catch (error) {
    console.error(`soak: ${error instanceof Error ? error.message : String(error)}`);
    const usage =
      error instanceof BadArguments || (error as { code?: string }).code?.startsWith('ERR_PARSE_ARGS');
    process.exit(usage ? EXIT_USAGE : EXIT_BROKEN);
  }
}

void main();
