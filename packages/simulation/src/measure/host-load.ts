/** Generates artificial processor load during a measurement. */
import { type ChildProcess, spawn } from 'node:child_process';

/** A program that keeps one processor busy until killed. The program also exits when its parent process has exited. */
const SPIN_PROGRAM = `
  const parent = process.ppid;
  while (process.ppid === parent) {
    for (let round = 0; round < 1e7; round++) Math.sqrt(Math.random());
  }
`;

/** A group of child processes, each of which keeps one processor busy until `stop` is called. */
export class HostLoad {
  private readonly children: ChildProcess[];

  constructor(processCount: number) {
    this.children = Array.from({ length: processCount }, () =>
      spawn(process.execPath, ['-e', SPIN_PROGRAM], { stdio: 'ignore' }),
    );
  }

  /** Kills the child processes. */
  stop(): void {
    for (const child of this.children) child.kill('SIGKILL');
  }
}
