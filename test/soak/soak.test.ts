import { execFile } from 'node:child_process';
import { mkdirSync, mkdtempSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import { build } from 'esbuild';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { RULE_PARTS } from './broken-controller.js';

mkdirSync('target', { recursive: true });
// Below the project's folder, so that its libraries are found.
const folder = mkdtempSync('target/soak-test-');
const script = join(folder, 'soak.mjs');
const TIMEOUT_MS = 400_000;

interface Outcome {
  readonly status: number;
  readonly text: string;
}

function soak(...args: string[]): Promise<Outcome> {
  return new Promise((resolve) => {
    execFile(process.execPath, [script, '--out', folder, ...args], (error, stdout, stderr) => {
      resolve({ status: error ? Number(error.code ?? -1) : 0, text: `${stdout}${stderr}` });
    });
  });
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
  });
});

afterAll(() => rmSync(folder, { recursive: true, force: true }));

// Asserts rules, not times: how long processes take depends on the load of the machine.
describe('real controllers over loopback with overlapping faults', () => {
  it(
    'break no rule, and whatever was accepted is served',
    async () => {
      const { status, text } = await soak('--seeds', '1-3', '--parallel', '3');
      expect(text).toContain('3 seeds run, 0 failed');
      expect(status).toBe(0);
    },
    TIMEOUT_MS,
  );

  it.each(RULE_PARTS)(
    'are detected when they lack the part "%s" of the placement rule',
    async (part) => {
      const { status, text } = await soak('--seeds', '1', '--broken', part);
      expect(text).toContain('1 seeds run, 0 failed');
      expect(status).toBe(0);
    },
    TIMEOUT_MS,
  );

  it.each([
    ['a range that ends before it begins', ['--seeds', '9-3']],
    ['no number', ['--seeds', 'many']],
    ['an unknown part', ['--broken', 'colour']],
    ['an unknown option', ['--speed', '3']],
    ['too many at once', ['--parallel', '99']],
  ])('report invalid arguments in one line: %s', async (_name, args) => {
    const { status, text } = await soak(...args);
    expect(status).toBe(2);
    expect(text.trim().split('\n')).toHaveLength(1);
  });
});
