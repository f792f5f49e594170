/** Busy processes of our own beside a measurement. */
import { type ChildProcess, spawn } from 'node:child_process';

/** Spins until it is ended. */
export class BoxLoad {
  private readonly children: ChildProcess[];

  constructor(processes: number) {
    this.children = Array.from({ length: processes }, () =>
      spawn(process.execPath, ['-e', 'for (;;) Math.sqrt(Math.random());'], { stdio: 'ignore' }),
    );
  }

  end(): void {
    for (const child of this.children) child.kill('SIGKILL');
  }
}
