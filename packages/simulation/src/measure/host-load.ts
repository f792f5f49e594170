/** Artificial processor load beside a measurement. */
import { type ChildProcess, spawn } from 'node:child_process';

/** Spins until it is killed. Also ends with its parent, in case that dies without having killed it. */
const SPIN_PROGRAM = `
  const parent = process.ppid;
  while (process.ppid === parent) {
    for (let round = 0; round < 1e7; round++) Math.sqrt(Math.random());
  }
`;

/** Child processes that keep processors busy until they are stopped. */
export class HostLoad {
  private readonly children: ChildProcess[];

  constructor(processes: number) {
    this.children = Array.from({ length: processes }, () =>
      spawn(process.execPath, ['-e', SPIN_PROGRAM], { stdio: 'ignore' }),
    );
  }

  /** Kills the child processes. */
  stop(): void {
    for (const child of this.children) child.kill('SIGKILL');
  }
}
