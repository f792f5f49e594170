/**
 * Runs the unit tests and lets exactly those fail that KNOWN-RED.txt lists, one a line: test | cause | issue. A listed
 * test that passes is an error as well: its line has to go.
 */
import { spawnSync } from 'node:child_process';
import { existsSync, mkdirSync, readFileSync, rmSync } from 'node:fs';

const LIST = 'KNOWN-RED.txt';
const RESULTS = 'target/unit.json';
const MOST_LISTED = 3;
const FIELDS = 3;

function readList() {
  if (!existsSync(LIST)) return [];
  const lines = readFileSync(LIST, 'utf8').split('\n');
  return lines.filter((line) => line.trim() !== '').map(readLine);
}

function readLine(line) {
  const fields = line.split('|').map((field) => field.trim());
  if (fields.length !== FIELDS || fields.includes('')) {
    throw new Error(`${LIST}: a line is "test | cause | issue": ${line}`);
  }
  const [test, cause, issue] = fields;
  return { test, cause, issue };
}

function fail(message) {
  console.error(message);
  process.exit(1);
}

const known = readList();
if (known.length > MOST_LISTED) fail(`${LIST}: ${known.length} lines, ${MOST_LISTED} at most`);
mkdirSync('target', { recursive: true });
rmSync(RESULTS, { force: true });
const reporters = ['--reporter=default', '--reporter=json', `--outputFile.json=${RESULTS}`];
const run = spawnSync('npx', ['vitest', 'run', ...reporters, ...process.argv.slice(2)], { stdio: 'inherit' });
if (!existsSync(RESULTS)) fail('the tests did not run to their end');
const results = JSON.parse(readFileSync(RESULTS, 'utf8'));
const tests = results.testResults.flatMap((file) => file.assertionResults);
const statusOf = (name) => tests.find((test) => test.fullName === name)?.status;
const failed = tests.filter((test) => test.status === 'failed').map((test) => test.fullName);
const unexpected = failed.filter((name) => !known.some(({ test }) => test === name));
const suitesFailed = results.testResults.filter(
  (file) => file.status === 'failed' && !file.assertionResults.some((test) => test.status === 'failed'),
);
for (const { test, cause, issue } of known) {
  console.log(`KNOWN RED: ${test}: ${cause} (issue ${issue})`);
  if (statusOf(test) === 'passed') fail(`${test} passes: take it off ${LIST}`);
  if (statusOf(test) !== 'failed' && process.argv.length <= 2) fail(`${test} did not run`);
}
if (unexpected.length > 0 || suitesFailed.length > 0) process.exit(1);
// Something else went wrong, such as an error outside of any test.
if (run.status !== 0 && failed.length === 0) process.exit(run.status ?? 1);
