import { type Epoch, type JobId, splitTaskId, type Token } from '../model/ids.js';
import type { Order, Report } from '../model/heartbeat.js';
import type { Steady } from '../model/time.js';
import type { Task } from '../scheduler/task.js';
import type { EndedAttempt, Host } from './state/worker.js';

/** A cancelled task whose start may be on its way is tombstoned only this long; then its host is fenced. */
const TOMBSTONE_MS = 15_000;

/**
 * The orders that a host needs now, by what it last showed.
 *
 * A `run` that may have left is never simply dropped: a late one would start a task that we had
 * given up on. When such a task has to go, `run` and `kill` leave together: the attempt then
 * stands as ended on the host, and a late `run` does nothing.
 */
export function ordersFor(host: Host, now: Steady, sure: boolean): Order[] {
  if (!sure) return killsWhileUnsure(host);
  return [
    ...host.strays.map(({ task, tryNo }): Order => ({ verb: 'kill', task, tryNo, graceS: 0 })),
    ...[...host.tasks].flatMap((task) => killsFor(task, now)),
    ...[...host.tasks]
      .filter(mayRun)
      .map((task): Order => ({ verb: 'run', task: task.id, tryNo: task.tryNo })),
  ];
}

/** A cancelled task is of no use whoever leads; nothing else is ordered without being sure, no start above all. */
function killsWhileUnsure(host: Host): Order[] {
  return [...host.tasks]
    .filter(({ phase, kill, shown }) => phase === 'placed' && kill?.why === 'cancelled' && shown !== null)
    .map((task) => ({ verb: 'kill', task: task.id, tryNo: task.tryNo, graceS: 0 }));
}

function killsFor(task: Task, now: Steady): Order[] {
  const { id, tryNo, phase, kill, shown, sentSession } = task;
  if (phase !== 'placed' || !kill) return [];
  const stop: Order = { verb: 'kill', task: id, tryNo, graceS: kill.graceS };
  if (shown !== null) return [stop];
  if (sentSession === null) return [];
  if (kill.why === 'cancelled' && now - kill.at > TOMBSTONE_MS) return [];
  return [{ verb: 'run', task: id, tryNo }, stop];
}

function mayRun({ phase, kill, shown, inherited }: Task): boolean {
  return phase === 'placed' && kill === null && shown === null && !inherited;
}

/** Kills for what a report shows of cancelled jobs, whoever started it. */
export function killsOf(report: Report, cancelled: (id: JobId) => boolean): Order[] {
  const orders: Order[] = [];
  for (const { task, tryNo, state } of report.attempts) {
    const id = state === 'exited' ? null : splitTaskId(task);
    if (id && cancelled(id.job)) orders.push({ verb: 'kill', task, tryNo, graceS: 0 });
  }
  return orders;
}

/**
 * Whether a start of a cancelled task may still be on its way to the host. Who is not sure orders no
 * tombstone; a higher token, which the worker takes over with the answer, makes it refuse such a start.
 */
export function mustForget(host: Host, epoch: Epoch): boolean {
  const token = host.token(epoch);
  for (const { phase, kill, shown, sentToken } of host.tasks) {
    if (phase !== 'placed' || kill?.why !== 'cancelled' || shown !== null) continue;
    if (sentToken !== null && sentToken >= token) return true;
  }
  return false;
}

/** Ended attempts whose outcome is durable: the worker need not keep them. */
function settled(host: Host): EndedAttempt[] {
  return [...host.ended.values()].filter(({ chunk, version }) => !chunk || chunk.holds(version));
}

/**
 * `clear` leaves only in report answers, and only under a higher token than any that a run order of
 * the attempt left with. A worker forgets what it clears: a run order that arrives afterwards, late
 * or as a copy of one that was carried out, would start the attempt again. Under the higher token,
 * which the worker takes over with the `clear` itself, it is refused.
 */
export function clearsFor(host: Host, token: Token): Order[] {
  return settled(host)
    .filter(({ sentToken }) => sentToken === null || sentToken < token)
    .map(({ task, tryNo }) => ({ verb: 'clear', task, tryNo }));
}

/** Whether the host's token should be raised before it is answered. */
export function needsRaise(host: Host, token: Token): boolean {
  // Orders on their way would be refused: the next report is soon enough.
  if (host.commandInFlight) return false;
  return host.doubted || settled(host).some(({ sentToken }) => sentToken !== null && sentToken >= token);
}

/** Remembers which run orders leave, in which session and with which token. */
export function markSent(host: Host, orders: readonly Order[], token: Token): void {
  const runs = new Set<string>();
  for (const order of orders) if (order.verb === 'run') runs.add(order.task);
  if (runs.size === 0) return;
  for (const task of host.tasks) {
    if (!runs.has(task.id)) continue;
    task.sentSession ??= host.session;
    task.sentToken = token;
  }
}
