/** The resources used by a team's tasks that may be on machines. */
export interface TeamUsage {
  cpus: number;
  gpus: number;
}
