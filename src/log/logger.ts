/** JSON lines on standard error. */

/** What the library needs of a logger. */
export interface Logger {
  /** Whether lines of `info` are written at all. */
  readonly isInfoEnabled: boolean;
  debug(fields: object, text: string): void;
  info(fields: object, text: string): void;
  warn(fields: object, text: string): void;
  error(fields: object, text: string): void;
}

/** The levels by number, as most tools for JSON lines know them (pino, bunyan). */
const LEVELS = { debug: 20, info: 30, warn: 40, error: 50 } as const;

type Level = keyof typeof LEVELS;

/** The levels that `LOG_LEVEL` may name. */
const NAMED = new Set<string>(['error', 'info', 'debug']);

function isNamed(level: string): level is Level {
  return NAMED.has(level);
}

/**
 * One JSON object a line, each written at once: a process may be killed without a signal. A logging library took
 * 30 of the program's 120 ms of start, and production logs next to nothing.
 */
export function openLogger(
  member: string,
  level = process.env['LOG_LEVEL'] ?? 'error',
  write: (line: string) => void = (line) => process.stderr.write(line),
): Logger {
  const least = LEVELS[isNamed(level) ? level : 'error'];
  const at = (name: Level): Logger['info'] => {
    const number = LEVELS[name];
    if (number < least) return () => {};
    return (fields, text) =>
      write(`${JSON.stringify({ level: number, time: Date.now(), member, ...fields, msg: text })}\n`);
  };
  return {
    isInfoEnabled: LEVELS.info >= least,
    debug: at('debug'),
    info: at('info'),
    warn: at('warn'),
    error: at('error'),
  };
}

export const silentLogger: Logger = {
  isInfoEnabled: false,
  debug() {},
  info() {},
  warn() {},
  error() {},
};

/** An error as the log tells it. */
export function errorMessage(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
