import { Command } from 'commander';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { Node } from '../cluster/node.js';
import { BadSettings, loadOperators, loadSettings } from '../config/operators.js';
import { tooSmall } from '../config/limits.js';
import { openLog, reason } from '../log/logger.js';

interface Options {
  config: string;
  operators?: string;
}

function guarded(run: (options: Options) => void | Promise<void>): (options: Options) => Promise<void> {
  return async (options) => {
    try {
      await run(options);
    } catch (error) {
      process.stderr.write(`plumyoke: ${reason(error)}\n`);
      process.exitCode = error instanceof BadSettings ? 2 : 1;
      if (!(error instanceof BadSettings)) process.exit(1);
    }
  };
}

async function serve(options: Options): Promise<void> {
  const settings = loadSettings(options.config);
  const operators = loadOperators(options.operators);
  const log = openLog(settings.member);
  for (const line of tooSmall(settings)) log.error({ field: line }, 'settings are too small');
  const generator = xoroshiro128plus(Date.now() ^ (process.pid << 12));
  const random = (): number => uniformFloat64(generator);
  // One odd answer from outside must never end the process.
  process.on('unhandledRejection', (error) => log.error({ error: reason(error) }, 'unhandled rejection'));
  process.on('uncaughtException', (error) => log.error({ error: error.stack }, 'uncaught exception'));
  await new Node(settings, operators, log, random).run();
}

function check(options: Options): void {
  const settings = loadSettings(options.config);
  loadOperators(options.operators);
  for (const line of tooSmall(settings)) process.stderr.write(`plumyoke: warning: ${line}\n`);
  process.stdout.write(`${settings.member}: settings are valid\n`);
}

/** The command line: `serve` and `check-config`. */
export function program(): Command {
  const root = new Command('plumyoke').description('Schedules jobs on rented machines, through any failure.');
  const withOptions = (command: Command): Command =>
    command
      .requiredOption('-c, --config <path>', "the platform's settings file (TOML)")
      .option(
        '-o, --operators <path>',
        "the operators' own settings (TOML)",
        process.env['PLUMYOKE_OPERATORS'],
      );
  withOptions(root.command('serve').description('run one controller until it is killed')).action(
    guarded(serve),
  );
  withOptions(
    root.command('check-config').description('check the settings files and say what is wrong with them'),
  ).action(guarded(check));
  return root;
}
