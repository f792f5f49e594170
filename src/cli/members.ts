/**
 * The command `plumyoke members`: lists the controllers as a running controller sees them, with advice for operators.
 */
import { loadSettings } from '../config/operators.js';
import { FrameKind } from '../peer/frames.js';
import { sendSingleRequest, SingleRequestError } from '../peer/single-request.js';
import { type MemberEntry, type MembersReport, readMembersReport } from '../wire/members.js';
import { renderTable } from './table.js';

const REQUEST_TIMEOUT_MS = 5000;
const OK_STATUS = 200;

/** Thrown when the list of controllers cannot be fetched; the message is one line that includes what to do next. */
class MembersUnavailableError extends Error {
  override readonly name = 'MembersUnavailableError';
  readonly code = 'MEMBERS_UNAVAILABLE';
}

const ADVICE_BY_STATE: Readonly<Record<string, string>> = {
  alive: 'nothing',
  linked: 'nothing',
  left: 'stopped on purpose; start it again when it should serve',
  suspect: 'wait some seconds: it either answers or is declared failed',
  failed: 'another controller has taken over its work; check whether its process runs, and start it',
  unknown: 'no message received yet, or an earlier version: check whether its process runs',
  'no link': 'check whether its process runs, and whether the network connects the two controllers',
};

/** Returns the advice for operators on one controller, by its state and connection. */
export function adviceFor({ state, connection }: MemberEntry): string {
  if (state === 'alive' && connection === 'partly-cut')
    return 'it serves; check the network between the controllers named below';
  if (state === 'suspect' && connection === 'deaf')
    return 'its messages arrive, but it receives none: check the network towards it';
  return ADVICE_BY_STATE[state] ?? 'no advice for this state';
}

const MINUTE_S = 60;
const HOUR_S = 3600;

function formatDuration(durationMs: number): string {
  const seconds = Math.round(durationMs / 1000);
  if (seconds < MINUTE_S) return `${seconds} s`;
  if (seconds < HOUR_S) return `${Math.floor(seconds / MINUTE_S)} min`;
  return `${Math.floor(seconds / HOUR_S)} h`;
}

/** Formats the report: a table, the evidence for each unhealthy controller, and the counts of dropped messages. */
export function renderMembers(report: MembersReport): string {
  const rows = report.members.map((line) => [
    line.member,
    line.state,
    report.failureDetection ? formatDuration(line.forMs) : '-',
    line.load === null ? '-' : `${Math.round(line.load * 100)}%`,
    line.owns.length === 0 ? '-' : line.owns.join(', '),
    adviceFor(line),
  ]);
  const lines = [
    `Controllers as ${report.observer} sees them:`,
    '',
    ...renderTable(['CONTROLLER', 'STATE', 'SINCE', 'LOAD', 'OWNS', 'WHAT TO DO'], rows),
  ];
  if (!report.failureDetection) {
    lines.push(
      '',
      'Failure detection is off on this controller (deploy/membership.toml); the states are those of its peer links.',
    );
  }
  const evidence = report.members
    .filter(({ state, connection }) => state !== 'alive' || connection === 'partly-cut')
    .flatMap((line) => line.evidence);
  if (evidence.length > 0) lines.push('', 'Evidence:', ...evidence.map((sentence) => `  ${sentence}`));
  const droppedCounts = Object.entries(report.dropped).filter(([, count]) => count > 0);
  if (droppedCounts.length > 0) {
    lines.push(
      '',
      'Messages dropped since the start of this controller:',
      ...droppedCounts.map(([reason, count]) => `  ${count} ${reason}`),
    );
  }
  return `${lines.join('\n')}\n`;
}

async function fetchReport(address: string): Promise<MembersReport> {
  const unavailable = (problem: string, nextStep: string): MembersUnavailableError =>
    new MembersUnavailableError(`the controller at ${address} cannot be asked: ${problem}; ${nextStep}`);
  try {
    const answer = await sendSingleRequest(
      address,
      FrameKind.ListMembers,
      Buffer.alloc(0),
      REQUEST_TIMEOUT_MS,
    );
    if (answer.status !== OK_STATUS)
      throw unavailable(`it answered with status ${answer.status}`, 'try another controller');
    return readMembersReport(JSON.parse(answer.body.toString('utf8')));
  } catch (error) {
    if (error instanceof MembersUnavailableError) throw error;
    if (error instanceof SingleRequestError) {
      const nextStep =
        'see whether its process runs (an earlier version does not support this request), or name another controller with --address';
      throw unavailable(error.message, nextStep);
    }
    throw unavailable('its answer cannot be decoded', 'use a plumyoke program of the same version');
  }
}

/**
 * Queries the controller at `address`, by default the controller of the settings file `config`, and prints its report.
 */
export async function printMembers(config: string | undefined, address: string | undefined): Promise<void> {
  const target = address ?? loadSettings(config ?? '').peerAddress;
  process.stdout.write(renderMembers(await fetchReport(target)));
}
