import { execFile } from 'node:child_process';
import { mkdirSync, mkdtempSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import { build } from 'esbuild';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { PROGRAM_PARTS } from './broken-controller.js';

mkdirSync('target', { recursive: true });
// The folder is inside the project so that Node.js resolves `esbuild` from the project's `node_modules`.
const outputFolder = mkdtempSync('target/soak-test-');
const script = join(outputFolder, 'soak.mjs');
const RUN_TIMEOUT_MS = 400_000;

interface SoakOutcome {
  readonly status: number;
  readonly output: string;
}

function runSoak(...args: string[]): Promise<SoakOutcome> {
  return new Promise((resolve) => {
    execFile(process.execPath, [script, '--out', outputFolder, ...args], (error, stdout, stderr) => {
      resolve({ status: error ? Number(error.code ?? -1) : 0, output: `${stdout}${stderr}` });
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

afterAll(() => rmSync(outputFolder, { recursive: true, force: true }));

// The tests assert rules but no durations, because durations depend on the load of the test machine.
describe('controller processes on loopback with concurrent faults', () => {
  it(
    'break no rule, and serve every accepted job',
    async () => {
      const { status, output } = await runSoak('--seeds', '1-4', '--parallel', '4');
      expect(output).toContain('4 seeds run, 0 failed');
      expect(status).toBe(0);
    },
    RUN_TIMEOUT_MS,
  );

  it.each(PROGRAM_PARTS)(
    'are detected by the rule checker if they lack the part "%s"',
    async (part) => {
      const { status, output } = await runSoak('--seeds', '1', '--broken', part);
      expect(output).toContain('1 seeds run, 0 failed');
      expect(status).toBe(0);
    },
    RUN_TIMEOUT_MS,
  );

  it.each([
    ['a range that ends before it begins', ['--seeds', '9-3']],
    ['a seed that is not a number', ['--seeds', 'many']],
    ['an unknown rule part', ['--broken', 'colour']],
    ['an unknown option', ['--speed', '3']],
    ['too many parallel seeds', ['--parallel', '99']],
  ])('the soak command reports invalid arguments in one line: %s', async (_name, args) => {
    const { status, output } = await runSoak(...args);
    expect(status).toBe(2);
    expect(output.trim().split('\n')).toHaveLength(1);
  });
});
