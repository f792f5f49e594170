import pino from 'pino';

/** What the library needs of a logger; pino's own fits it. */
export interface Log {
  debug(fields: object, text: string): void;
  info(fields: object, text: string): void;
  warn(fields: object, text: string): void;
  error(fields: object, text: string): void;
}

const LEVELS = new Set(['error', 'info', 'debug']);

/** Lines go to standard error at once: a process may be killed without a signal. */
export function openLog(member: string, level = process.env['LOG_LEVEL'] ?? 'error'): Log {
  return pino(
    {
      level: LEVELS.has(level) ? level : 'error',
      base: { member },
      timestamp: pino.stdTimeFunctions.epochTime,
    },
    pino.destination({ fd: 2, sync: true }),
  );
}

export const silentLog: Log = {
  debug() {},
  info() {},
  warn() {},
  error() {},
};

/** An error as the log tells it. */
export function reason(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
