/** Structured logging: each log line is a JSON object on standard error. */

/** Writes log lines; the arguments are the fields of the line and its message. */
export interface Logger {
  /** Whether lines of level `info` are written. */
  readonly isInfoEnabled: boolean;
  debug(fields: object, message: string): void;
  info(fields: object, message: string): void;
  warn(fields: object, message: string): void;
  error(fields: object, message: string): void;
}

/** The log levels and their numbers, which are those of pino and bunyan, so that tools for JSON log lines know them. */
const LEVELS = { debug: 20, info: 30, warn: 40, error: 50 } as const;

type Level = keyof typeof LEVELS;

/** The levels that the environment variable `LOG_LEVEL` may name; any other value means `error`. */
const CONFIGURABLE_LEVELS = new Set<string>(['error', 'info', 'debug']);

function isConfigurable(level: string): level is Level {
  return CONFIGURABLE_LEVELS.has(level);
}

/**
 * Creates a logger that writes each line immediately, without a buffer: the process may be killed without notice. No
 * logging library is used, since loading one takes 30 of the program's 120 ms of startup time, while production systems
 * log almost nothing.
 */
export function openLogger(
  member: string,
  level = process.env['LOG_LEVEL'] ?? 'error',
  write: (line: string) => void = (line) => process.stderr.write(line),
): Logger {
  const minLevel = LEVELS[isConfigurable(level) ? level : 'error'];
  const createWriter = (name: Level): Logger['info'] => {
    const levelNumber = LEVELS[name];
    if (levelNumber < minLevel) return () => {};
    return (fields, message) =>
      write(`${JSON.stringify({ level: levelNumber, time: Date.now(), member, ...fields, msg: message })}\n`);
  };
  return {
    isInfoEnabled: LEVELS.info >= minLevel,
    debug: createWriter('debug'),
    info: createWriter('info'),
    warn: createWriter('warn'),
    error: createWriter('error'),
  };
}

/** A logger that discards all lines. */
export const silentLogger: Logger = {
  isInfoEnabled: false,
  debug() {},
  info() {},
  warn() {},
  error() {},
};

/** Returns the message of an error, or the string form of any other thrown value. */
export function errorMessage(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
