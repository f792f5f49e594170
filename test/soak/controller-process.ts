/** Runs a controller as a child process that tests kill and pause, and stores and parses its log. */
import { type ChildProcess, spawn } from 'node:child_process';
import { appendFileSync, readFileSync } from 'node:fs';
import { parse } from 'smol-toml';

/** Returns the flags `--max…` and `--single-threaded` of the production command line in `deploy/service.toml`. */
function productionFlags(): string[] {
  const { run } = parse(readFileSync('deploy/service.toml', 'utf8')) as { run: string };
  return run
    .split(' ')
    .filter((argument) => argument.startsWith('--max') || argument === '--single-threaded');
}

const RUNTIME_FLAGS = productionFlags();

function parseLogLine(line: string): LogLine | null {
  try {
    return JSON.parse(line) as LogLine;
  } catch {
    // The Node.js runtime writes lines that are not JSON. Such lines appear in the log file, but not in `onLine`.
    return null;
  }
}

/** A parsed line of a controller's log. */
export type LogLine = Readonly<Record<string, unknown>> & { readonly msg: string };

/** The files of a controller process and the callbacks for its log lines and its exit. */
export interface ControllerOptions {
  readonly program: string;
  readonly settings: string;
  readonly log: string;
  readonly onLine: (line: LogLine) => void;
  /** Called when the process has exited. `isExpected`: `kill` was called before the exit. */
  readonly onExit: (isExpected: boolean) => void;
}

/** A controller process from its start to its exit. */
export class ControllerProcess {
  private readonly child: ChildProcess;
  private readonly exitPromise: Promise<void>;
  private isKilled = false;
  private incompleteLine = '';

  constructor(private readonly options: ControllerOptions) {
    const args = [...RUNTIME_FLAGS, options.program, 'serve', '--config', options.settings];
    this.child = spawn(process.execPath, args, {
      stdio: ['ignore', 'ignore', 'pipe'],
      env: { ...process.env, LOG_LEVEL: 'info' },
    });
    this.child.stderr?.setEncoding('utf8');
    this.child.stderr?.on('data', (text: string) => this.receive(text));
    // SIGKILL also ends a paused child, so that no child outlives this process.
    const killChild = (): void => void this.child.kill('SIGKILL');
    process.on('exit', killChild);
    this.exitPromise = new Promise((resolve) => {
      this.child.on('exit', () => {
        process.off('exit', killChild);
        options.onExit(this.isKilled);
        resolve();
      });
    });
  }

  private receive(text: string): void {
    appendFileSync(this.options.log, text);
    const lines = (this.incompleteLine + text).split('\n');
    this.incompleteLine = lines.pop() ?? '';
    for (const line of lines) {
      const logLine = parseLogLine(line);
      if (logLine) this.options.onLine(logLine);
    }
  }

  /** Kills the process. Resolves once the process has exited. */
  kill(): Promise<void> {
    this.isKilled = true;
    this.child.kill('SIGKILL');
    return this.exitPromise;
  }

  /** Suspends the process with SIGSTOP. */
  pause(): void {
    if (!this.isKilled) this.child.kill('SIGSTOP');
  }

  /** Resumes a suspended process. */
  resume(): void {
    if (!this.isKilled) this.child.kill('SIGCONT');
  }
}
