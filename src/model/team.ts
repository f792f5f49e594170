/** Teams and their quotas. */
import type { TeamId } from './ids.js';

/** A team's guaranteed quota (`cpus`, `gpus`) and quota limit (`cpusMax`, `gpusMax`; null if unlimited). */
export interface Team {
  readonly id: TeamId;
  readonly cpus: number;
  readonly gpus: number;
  readonly cpusMax: number | null;
  readonly gpusMax: number | null;
}
