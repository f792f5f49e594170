/** One controller as a process of this machine: started, killed and stopped by its id, its log kept and read. */
import { type ChildProcess, spawn } from 'node:child_process';
import { appendFileSync, readFileSync } from 'node:fs';
import { parse } from 'smol-toml';

/** The runtime's flags, as production runs the program. */
function productionFlags(): string[] {
  const { run } = parse(readFileSync('deploy/service.toml', 'utf8')) as { run: string };
  return run.split(' ').filter((word) => word.startsWith('--max') || word === '--single-threaded');
}

const FLAGS = productionFlags();

function parseLine(line: string): LogLine | null {
  try {
    return JSON.parse(line) as LogLine;
  } catch {
    // What the runtime itself writes is kept in the file.
    return null;
  }
}

/** One line of a controller's log. */
export type LogLine = Readonly<Record<string, unknown>> & { readonly msg: string };

/** Where its files are, and who is told. */
export interface ControllerOptions {
  readonly program: string;
  readonly settings: string;
  readonly log: string;
  readonly onLine: (line: LogLine) => void;
  /** `expected`: it was killed by us. */
  readonly onExit: (expected: boolean) => void;
}

/** From its start to its end. */
export class ControllerProcess {
  private readonly child: ChildProcess;
  private readonly ended: Promise<void>;
  private killed = false;
  private rest = '';

  constructor(private readonly options: ControllerOptions) {
    const args = [...FLAGS, options.program, 'serve', '--config', options.settings];
    this.child = spawn(process.execPath, args, {
      stdio: ['ignore', 'ignore', 'pipe'],
      env: { ...process.env, LOG_LEVEL: 'info' },
    });
    this.child.stderr?.setEncoding('utf8');
    this.child.stderr?.on('data', (text: string) => this.read(text));
    // However this process ends, it leaves none behind, stopped or not.
    const killChild = (): void => void this.child.kill('SIGKILL');
    process.on('exit', killChild);
    this.ended = new Promise((resolve) => {
      this.child.on('exit', () => {
        process.off('exit', killChild);
        options.onExit(this.killed);
        resolve();
      });
    });
  }

  private read(text: string): void {
    appendFileSync(this.options.log, text);
    const lines = (this.rest + text).split('\n');
    this.rest = lines.pop() ?? '';
    for (const line of lines) {
      const told = parseLine(line);
      if (told) this.options.onLine(told);
    }
  }

  kill(): Promise<void> {
    this.killed = true;
    this.child.kill('SIGKILL');
    return this.ended;
  }

  pause(): void {
    if (!this.killed) this.child.kill('SIGSTOP');
  }

  goOn(): void {
    if (!this.killed) this.child.kill('SIGCONT');
  }
}
