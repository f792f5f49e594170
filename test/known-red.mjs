/**
 * Runs the unit tests. Those that KNOWN-RED.txt lists, one a line (test | cause | issue), are run by themselves and have
 * to fail; all others have to pass, and nothing may go wrong outside of them.
 */
import { spawnSync } from 'node:child_process';
import { existsSync, mkdirSync, readFileSync, rmSync } from 'node:fs';

const LIST = 'KNOWN-RED.txt';
const RESULTS = 'target/known-red.json';
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
    fail(`${LIST}: a line is "test | cause | issue": ${line}`);
  }
  const [test, cause, issue] = fields;
  return { test, cause, issue };
}

function fail(message) {
  console.error(message);
  process.exit(1);
}

function vitest(...args) {
  return spawnSync('npx', ['vitest', 'run', ...args, ...process.argv.slice(2)], { stdio: 'inherit' }).status;
}

/** A pattern for exactly these tests. */
function namesOf(known) {
  const names = known.map(({ test }) => test.replace(/[.*+?^${}()|[\]\\]/g, '\\$&'));
  return `(${names.join('|')})$`;
}

/** How each listed test ended. */
function runListed(known) {
  mkdirSync('target', { recursive: true });
  rmSync(RESULTS, { force: true });
  vitest('-t', `^${namesOf(known)}`, '--reporter=json', `--outputFile=${RESULTS}`);
  if (!existsSync(RESULTS)) fail('the listed tests did not run to their end');
  const { testResults } = JSON.parse(readFileSync(RESULTS, 'utf8'));
  return testResults.flatMap((file) => file.assertionResults);
}

const known = readList();
if (known.length > MOST_LISTED) fail(`${LIST}: ${known.length} lines, ${MOST_LISTED} at most`);
if (known.length === 0) process.exit(vitest());
const status = vitest('-t', `^(?!${namesOf(known)})`);
if (status !== 0) process.exit(status ?? 1);
const listed = runListed(known);
for (const { test, cause, issue } of known) {
  console.log(`KNOWN RED: ${test}: ${cause} (issue ${issue})`);
  const ended = listed.find(({ fullName }) => fullName === test)?.status;
  if (ended === 'passed') fail(`${test} passes: take it off ${LIST}`);
  if (ended !== 'failed' && process.argv.length <= 2) fail(`${test} did not run`);
}
