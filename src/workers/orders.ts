import type { Order } from '../model/report.js';
import { type Steady, plus } from '../model/time.js';
import type { Host } from './host-book.js';

/** A worker drops a report's answer 4 s after sending the report. */
const ANSWER_LIVES_MS = 4000;
/** A cancelled task whose start may be on its way is tombstoned only this long; then its host is fenced. */
export const TOMBSTONE_MS = 15_000;

export const answerQuietAt = (answeredAt: Steady | null, now: Steady): Steady =>
  answeredAt === null ? now : plus(answeredAt, ANSWER_LIVES_MS * 1.25);

/**
 * The orders that a host needs now, by what it last showed.
 *
 * A `run` that may have left is never simply dropped: a late one would start a task that we had
 * given up on. When such a task has to go, `run` and `kill` leave together: the attempt then
 * stands as ended on the host, and a late `run` does nothing.
 */
export function ordersFor(host: Host, now: Steady): Order[] {
  const orders: Order[] = [];
  for (const stray of host.strays) {
    orders.push({ verb: 'kill', task: stray.task, tryNo: stray.tryNo, graceS: 0 });
  }
  for (const task of host.tasks) {
    if (task.phase !== 'placed' || !task.kill) continue;
    if (task.shown === null) {
      if (task.sentTenure === null) continue;
      if (task.kill.why === 'cancelled' && now - task.kill.at > TOMBSTONE_MS) continue;
      orders.push({ verb: 'run', task: task.id, tryNo: task.tryNo });
    }
    orders.push({ verb: 'kill', task: task.id, tryNo: task.tryNo, graceS: task.kill.graceS });
  }
  for (const task of host.tasks) {
    if (task.phase !== 'placed' || task.kill || task.shown !== null || task.inherited) continue;
    orders.push({ verb: 'run', task: task.id, tryNo: task.tryNo });
  }
  return orders;
}

/** `clear` leaves only in report answers, and only when no run order can arrive after it. */
export function clearsFor(host: Host, now: Steady): Order[] {
  const orders: Order[] = [];
  for (const ended of host.ended.values()) {
    if (ended.loose || ended.quietAt > now) continue;
    if (ended.chunk && ended.chunk.durable < ended.version) continue;
    orders.push({ verb: 'clear', task: ended.task, tryNo: ended.tryNo });
  }
  return orders;
}
