/** A controller as a child process: started, killed and paused by its id, with its log stored and parsed. */
import { type ChildProcess, spawn } from 'node:child_process';
import { appendFileSync, readFileSync } from 'node:fs';
import { parse } from 'smol-toml';

/** Returns the runtime flags with which production runs the program. */
function productionFlags(): string[] {
  const { run } = parse(readFileSync('deploy/service.toml', 'utf8')) as { run: string };
  return run.split(' ').filter((word) => word.startsWith('--max') || word === '--single-threaded');
}

const FLAGS = productionFlags();

function parseLine(line: string): LogLine | null {
  try {
    return JSON.parse(line) as LogLine;
  } catch {
    // Output of the runtime itself is only stored in the log file.
    return null;
  }
}

/** One line of a controller's log. */
export type LogLine = Readonly<Record<string, unknown>> & { readonly msg: string };

/** The files and callbacks of a controller. */
export interface ControllerOptions {
  readonly program: string;
  readonly settings: string;
  readonly log: string;
  readonly onLine: (line: LogLine) => void;
  /** `isExpected`: it was killed by `kill`. */
  readonly onExit: (isExpected: boolean) => void;
}

/** One run of a controller's program. */
export class ControllerProcess {
  private readonly child: ChildProcess;
  private readonly ended: Promise<void>;
  private isKilled = false;
  private buffer = '';

  constructor(private readonly options: ControllerOptions) {
    const args = [...FLAGS, options.program, 'serve', '--config', options.settings];
    this.child = spawn(process.execPath, args, {
      stdio: ['ignore', 'ignore', 'pipe'],
      env: { ...process.env, LOG_LEVEL: 'info' },
    });
    this.child.stderr?.setEncoding('utf8');
    this.child.stderr?.on('data', (text: string) => this.receive(text));
    // No child may outlive this process, not even a paused one.
    const killChild = (): void => void this.child.kill('SIGKILL');
    process.on('exit', killChild);
    this.ended = new Promise((resolve) => {
      this.child.on('exit', () => {
        process.off('exit', killChild);
        options.onExit(this.isKilled);
        resolve();
      });
    });
  }

  private receive(text: string): void {
    appendFileSync(this.options.log, text);
    const lines = (this.buffer + text).split('\n');
    this.buffer = lines.pop() ?? '';
    for (const line of lines) {
      const logLine = parseLine(line);
      if (logLine) this.options.onLine(logLine);
    }
  }

  /** Kills the process; resolves once it has ended. */
  kill(): Promise<void> {
    this.isKilled = true;
    this.child.kill('SIGKILL');
    return this.ended;
  }

  /** Stops the process without ending it. */
  pause(): void {
    if (!this.isKilled) this.child.kill('SIGSTOP');
  }

  /** Continues a paused process. */
  resume(): void {
    if (!this.isKilled) this.child.kill('SIGCONT');
  }
}
