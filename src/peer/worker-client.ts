import type { Heartbeat, WorkerCommand } from '../model/heartbeat.js';
import type { AgentIncarnation, FencingToken } from '../model/ids.js';
import type { CommandReply } from '../wire/workers.js';

/** Calls to workers at their own addresses, on whatever route. Calls reject with `NoAnswerError` and `NoSocketError`. */
export interface WorkerClient {
  sendCommands(
    address: string,
    token: FencingToken,
    incarnation: AgentIncarnation,
    commands: readonly WorkerCommand[],
    deadlineMs: number,
  ): Promise<CommandReply>;
  /** `useEveryRoute`: directly and through the other controllers at the same time. */
  fetchHeartbeat(address: string, deadlineMs: number, useEveryRoute: boolean): Promise<Heartbeat | null>;
}
