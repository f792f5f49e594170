import type { TeamId } from './ids.js';

/** What a team is guaranteed and limited to. A limit of null: none. */
export interface Team {
  readonly id: TeamId;
  readonly cpus: number;
  readonly gpus: number;
  readonly cpusMax: number | null;
  readonly gpusMax: number | null;
}
