import { execFile } from 'node:child_process';
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { afterAll, describe, expect, it } from 'vitest';

const SCRIPT = resolve('test/known-red.mjs');
mkdirSync('target', { recursive: true });
// The test projects are inside this project so that `npx` finds vitest in its `node_modules`.
const projectsFolder = mkdtempSync('target/known-red-test-');
afterAll(() => rmSync(projectsFolder, { recursive: true, force: true }));

/** A test file whose test `group red (a+b)` fails. The name contains special characters of regular expressions. */
const TEST_SOURCE = `
import { describe, expect, it } from 'vitest';
describe('group', () => {
  it('green', () => {});
  it('red', () => {});
  it('red (a+b)', () => expect(1).toBe(2));
});
`;
const PASSING_TEST_SOURCE = TEST_SOURCE.replace('expect(1).toBe(2)', '{}');
const FAILING_ENTRY = 'group red (a+b) | npm test, no seed | one is not two | 36';

interface ScriptResult {
  readonly status: number;
  readonly output: string;
  readonly errorLines: readonly string[];
}

/** Runs the script in a new project with a test file and KNOWN-RED.txt. If `list` is null, the list file is missing. */
function runScript(list: string | null, tests = TEST_SOURCE): Promise<ScriptResult> {
  const project = mkdtempSync(join(projectsFolder, 'project-'));
  mkdirSync(join(project, 'test'));
  writeFileSync(join(project, 'test', 'some.test.ts'), tests);
  if (list !== null) writeFileSync(join(project, 'KNOWN-RED.txt'), list);
  const env = Object.fromEntries(
    Object.entries(process.env).filter(([name]) => !name.startsWith('VITEST') && name !== 'NODE_ENV'),
  );
  return new Promise((resolveResult) => {
    execFile(process.execPath, [SCRIPT], { cwd: project, env }, (error, stdout, stderr) => {
      resolveResult({
        status: error ? Number(error.code) : 0,
        output: stdout,
        errorLines: stderr.trim().split('\n'),
      });
    });
  });
}

describe.concurrent('the list of known failures', () => {
  it('accepts the failure of a listed test, and prints its entry', async () => {
    const { status, output } = await runScript(`${FAILING_ENTRY}\n`);
    expect(output).toContain(
      'KNOWN RED: group red (a+b): failed; seen: one is not two (npm test, no seed; issue 36)',
    );
    expect(status).toBe(0);
  });

  it('fails for an unlisted test that fails', async () => {
    const { status } = await runScript('group green | npm test | nothing | 36');
    expect(status).toBe(1);
  });

  it('rejects an entry whose test passes', async () => {
    const { status, errorLines } = await runScript(FAILING_ENTRY, PASSING_TEST_SOURCE);
    expect(errorLines.at(-1)).toBe(
      'KNOWN-RED.txt: the listed test passes; remove its entry: group red (a+b)',
    );
    expect(status).toBe(1);
  });

  it('rejects an entry whose test does not exist', async () => {
    const { status, errorLines } = await runScript(`${FAILING_ENTRY}\ngroup blue | npm test | nothing | 36`);
    expect(errorLines.at(-1)).toBe('KNOWN-RED.txt: vitest ran no test with this name: group blue');
    expect(status).toBe(1);
  });

  it.each([
    ['fails', 'failed', TEST_SOURCE],
    ['passes', 'passed', PASSING_TEST_SOURCE],
  ])('exits with 0 whether a flaky test passes or fails: the test %s', async (_name, testStatus, tests) => {
    const { status, output } = await runScript(`[flaky] ${FAILING_ENTRY}`, tests);
    expect(output).toContain(`KNOWN RED [flaky]: group red (a+b): ${testStatus}; seen: one is not two`);
    expect(status).toBe(0);
  });

  it('rejects a flaky entry whose test does not exist', async () => {
    const { status } = await runScript('[flaky] group blue | npm test | nothing | 36', PASSING_TEST_SOURCE);
    expect(status).toBe(1);
  });

  it('prints bench and soak entries with their commands, and runs nothing for them', async () => {
    const entries =
      '[bench] own day | fleetbench run, seed 3 | 0.93 | 36\n[soak] seed 9 | npm run soak | x | 36';
    const { status, output } = await runScript(entries, PASSING_TEST_SOURCE);
    expect(output).toContain(
      'KNOWN RED [bench]: own day: not run here; seen: 0.93 (fleetbench run, seed 3; issue 36)',
    );
    expect(output).toContain('KNOWN RED [soak]: seed 9: not run here; seen: x (npm run soak; issue 36)');
    expect(status).toBe(0);
  });

  it.each([
    ['the file is missing', null],
    ['the file is empty', '\n\n'],
  ])('requires all tests to pass if there are no entries: %s', async (_name, list) => {
    expect((await runScript(list, PASSING_TEST_SOURCE)).status).toBe(0);
    expect((await runScript(list)).status).toBe(1);
  });

  it.each([
    ['a field is missing', 'group red | npm test | 36'],
    ['a field is empty', 'group red | | seen | 36'],
    ['there is an extra field', `${FAILING_ENTRY} | 37`],
    ['the issue is not a number', 'group red | npm test | seen | thirty'],
    ['the mark is unknown', `[sometimes] ${FAILING_ENTRY}`],
    ['there is a mark but no test name', '[flaky] | npm test | seen | 36'],
  ])('quotes a malformed entry in a one-line error: %s', async (_name, entry) => {
    const { status, output, errorLines } = await runScript(`${entry}\n`);
    expect(errorLines).toEqual([expect.stringContaining(entry)]);
    expect(output).toBe('');
    expect(status).toBe(1);
  });

  it('rejects two entries for the same test', async () => {
    const { status, errorLines } = await runScript(`${FAILING_ENTRY}\n${FAILING_ENTRY}`);
    expect(errorLines).toEqual(['KNOWN-RED.txt: more than one entry for the test: group red (a+b)']);
    expect(status).toBe(1);
  });
});
