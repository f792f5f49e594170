/** The interface through which the leader calls workers; `RoutedCaller` implements it. */
import type { Heartbeat, WorkerCommand } from '../model/heartbeat.js';
import type { AgentIncarnation, FencingToken } from '../model/ids.js';
import type { CommandReply } from '../wire/workers.js';

/**
 * Calls workers by address; the implementation chooses the route. Calls reject with `NoAnswerError` or `NoSocketError`.
 */
export interface WorkerClient {
  sendCommands(
    address: string,
    token: FencingToken,
    incarnation: AgentIncarnation,
    commands: readonly WorkerCommand[],
    deadlineMs: number,
  ): Promise<CommandReply>;
  /**
   * Fetches a worker's heartbeat; null: the worker's answer is not a valid heartbeat. `useEveryRoute`: calls directly
   * and through all connected controllers in parallel.
   */
  fetchHeartbeat(address: string, deadlineMs: number, useEveryRoute: boolean): Promise<Heartbeat | null>;
}
