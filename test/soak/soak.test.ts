import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { build } from 'esbuild';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { RULE_PARTS } from './broken-controller.js';

const folder = mkdtempSync(join(tmpdir(), 'plumyoke-soak-'));
const script = join(folder, 'soak.mjs');
const LIMIT_MS = 400_000;

interface Outcome {
  readonly status: number | null;
  readonly text: string;
}

function soak(...args: string[]): Outcome {
  const run = spawnSync(process.execPath, [script, '--out', folder, ...args], { encoding: 'utf8' });
  return { status: run.status, text: `${run.stdout}${run.stderr}` };
}

beforeAll(async () => {
  await build({
    entryPoints: ['test/soak/main.ts'],
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
    outfile: script,
    external: ['esbuild'],
    logLevel: 'warning',
    absWorkingDir: process.cwd(),
    nodePaths: [join(process.cwd(), 'node_modules')],
  });
});

afterAll(() => rmSync(folder, { recursive: true, force: true }));

// Asserts rules, not times: how long processes take depends on what else the machine does.
describe('real controllers over loopback, with troubles that overlap', () => {
  it(
    'break no rule, and whatever was accepted is served',
    () => {
      const { status, text } = soak('--seeds', '1-3', '--parallel', '3');
      expect(text).toContain('3 seeds run, 0 failed');
      expect(status).toBe(0);
    },
    LIMIT_MS,
  );

  it.each(RULE_PARTS)(
    'are caught without the part "%s" of the placement rule',
    (part) => {
      const { status, text } = soak('--seeds', '1', '--broken', part);
      expect(text).toContain('1 seeds run, 0 failed');
      expect(status).toBe(0);
    },
    LIMIT_MS,
  );

  it.each([
    ['a range that ends before it begins', ['--seeds', '9-3']],
    ['no number', ['--seeds', 'many']],
    ['an unknown part', ['--broken', 'colour']],
    ['an unknown option', ['--speed', '3']],
    ['too many at once', ['--parallel', '99']],
  ])('say in one line what is wrong with the arguments: %s', (_name, args) => {
    const { status, text } = soak(...args);
    expect(status).toBe(2);
    expect(text.trim().split('\n')).toHaveLength(1);
  });
});
