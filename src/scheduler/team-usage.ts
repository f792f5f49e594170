/** What a team's tasks use that may be on machines. */
export interface TeamUsage {
  cpus: number;
  gpus: number;
}
