/** `plumyoke members`: the controllers as a running one sees them, and what an operator should do about each. */
import { loadSettings } from '../config/operators.js';
import { FrameKind } from '../peer/frames.js';
import { sendSingleRequest, NoReplyError } from '../peer/single-request.js';
import { type MemberLine, type MembersReport, readMembersReport } from '../wire/members.js';
import { renderTable } from './table.js';

const REQUEST_TIMEOUT_MS = 5000;
const OK_STATUS = 200;

/** The list is not available; the message is one line that says what to do next. */
class MembersUnavailableError extends Error {
  override readonly name = 'MembersUnavailableError';
  readonly code = 'MEMBERS_UNAVAILABLE';
}

const ADVICE: Readonly<Record<string, string>> = {
  alive: 'nothing',
  linked: 'nothing',
  left: 'it was stopped on purpose; start it again when it should serve',
  suspect: 'wait some seconds: it either answers or is failed',
  failed: 'its work is with another controller; see whether its process runs, and start it',
  unknown: 'not heard of yet, or an earlier version: see whether its process runs',
  'no link': 'see whether its process runs, and whether the network lets the two through',
};

/** Returns what an operator should do about one controller. */
export function adviceFor({ state, connection }: MemberLine): string {
  if (state === 'alive' && connection === 'partly-cut')
    return 'it serves; look at the network between the controllers named below';
  if (state === 'suspect' && connection === 'deaf')
    return 'it is heard but hears nobody: look at the network towards it';
  return ADVICE[state] ?? 'nothing known';
}

const MINUTE_S = 60;
const HOUR_S = 3600;

function formatDuration(durationMs: number): string {
  const seconds = Math.round(durationMs / 1000);
  if (seconds < MINUTE_S) return `${seconds} s`;
  if (seconds < HOUR_S) return `${Math.floor(seconds / MINUTE_S)} min`;
  return `${Math.floor(seconds / HOUR_S)} h`;
}

/** Formats the report: a table, the evidence where something is wrong, and the messages that were dropped. */
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
      'Failure detection is off on this controller (deploy/membership.toml); states are those of its links.',
    );
  }
  const evidence = report.members
    .filter(({ state, connection }) => state !== 'alive' || connection === 'partly-cut')
    .flatMap((line) => line.evidence);
  if (evidence.length > 0) lines.push('', 'Evidence:', ...evidence.map((sentence) => `  ${sentence}`));
  const dropped = Object.entries(report.dropped).filter(([, count]) => count > 0);
  if (dropped.length > 0) {
    lines.push(
      '',
      'Messages dropped since its start:',
      ...dropped.map(([why, count]) => `  ${count} ${why}`),
    );
  }
  return `${lines.join('\n')}\n`;
}

async function fetchReport(address: string): Promise<MembersReport> {
  const unavailable = (problem: string, next: string): MembersUnavailableError =>
    new MembersUnavailableError(`the controller at ${address} cannot be asked: ${problem}; ${next}`);
  try {
    const answer = await sendSingleRequest(address, FrameKind.Members, Buffer.alloc(0), REQUEST_TIMEOUT_MS);
    if (answer.status !== OK_STATUS)
      throw unavailable(`it answered ${answer.status}`, 'try another controller');
    return readMembersReport(JSON.parse(answer.body.toString('utf8')));
  } catch (error) {
    if (error instanceof MembersUnavailableError) throw error;
    if (error instanceof NoReplyError) {
      const next =
        'see whether its process runs (an earlier version does not know the question), or name another with --address';
      throw unavailable(error.message, next);
    }
    throw unavailable('its answer cannot be read', 'use the program of the same version');
  }
}

/** Asks the controller at `address`, or the one whose settings these are, and prints its report. */
export async function printMembers(config: string | undefined, address: string | undefined): Promise<void> {
  const target = address ?? loadSettings(config ?? '').peerAddress;
  process.stdout.write(renderMembers(await fetchReport(target)));
}
