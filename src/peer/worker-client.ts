import type { Heartbeat, WorkerCommand } from '../model/heartbeat.js';
import type { AgentIncarnation, FencingToken } from '../model/ids.js';
import type { CommandReply } from '../wire/workers.js';

/** Calls workers at their own addresses. Calls reject with `NoAnswerError`, or `NoSocketError` if nothing was sent. */
export interface WorkerClient {
  /** Sends commands that are valid for this incarnation of the agent, under this fencing token. */
  sendCommands(
    address: string,
    token: FencingToken,
    incarnation: AgentIncarnation,
    commands: readonly WorkerCommand[],
    deadlineMs: number,
  ): Promise<CommandReply>;
  /**
   * Asks a worker for its current heartbeat; null: its reply holds no valid one. `tryAllRoutes`: through the other
   * controllers as well, not directly alone.
   */
  fetchHeartbeat(address: string, deadlineMs: number, tryAllRoutes: boolean): Promise<Heartbeat | null>;
}
