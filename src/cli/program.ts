/** The command line: `serve`, `check-config` and `members`. */
import { parseArgs } from 'node:util';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { Controller } from '../controller/controller.js';
import { InvalidSettingsError, loadOperators, loadSettings } from '../config/operators.js';
import { members } from './members.js';
import { findTooSmallSettings } from '../config/limits.js';
import { type Features, loadFeatures } from '../config/features.js';
import { openLogger, errorMessage } from '../log/logger.js';
import type { Settings } from '../wire/settings.js';

/** What a command is called with. */
interface Options {
  readonly config: string | undefined;
  readonly operators: string | undefined;
  /** The folder of feature files. */
  readonly features: string | undefined;
  /** A controller's address for other controllers. */
  readonly address: string | undefined;
}

/** One command, its line in the help, and what it does. */
interface Command {
  readonly description: string;
  readonly run: (options: Options) => void | Promise<void>;
}

/** Arguments that name no command or miss an option; the message is one line. */
class UsageError extends Error {}

const COMMANDS: Readonly<Record<string, Command>> = {
  serve: { description: 'run one controller until it is killed', run: serve },
  'check-config': { description: 'check the settings files and say what is wrong with them', run: check },
  members: {
    description: 'ask a running controller how all controllers are',
    run: ({ config, address }) => {
      if (address === undefined) required(config);
      return members(config, address);
    },
  },
};

function required(config: string | undefined): string {
  if (config === undefined) throw new UsageError("option '--config <path>' is missing");
  return config;
}

const HELP = `Usage: plumyoke <command> --config <path> [options]

Schedules jobs on rented machines, through any failure.

Commands:
${Object.entries(COMMANDS)
  .map(([name, { description }]) => `  ${name.padEnd(14)}${description}`)
  .join('\n')}

Options:
  -c, --config <path>     the platform's settings file (TOML)
  -o, --operators <path>  the operators' own settings (TOML; or PLUMYOKE_OPERATORS)
  -f, --features <folder> the folder of feature files, each of which turns one on
  -a, --address <ip:port> members: the controller to ask, by its cluster_listen; default: that of --config
  -h, --help              show this text
`;

/** The exit code for settings or arguments that cannot be used. */
const EXIT_UNUSABLE = 2;

async function serve(options: Options): Promise<void> {
  const settings = loadSettings(required(options.config));
  const operators = loadOperators(options.operators);
  const features = await checkedFeatures(options, settings);
  const log = openLogger(settings.member);
  for (const line of findTooSmallSettings(settings)) log.error({ field: line }, 'settings are too small');
  const generator = xoroshiro128plus(Date.now() ^ (process.pid << 12));
  const random = (): number => uniformFloat64(generator);
  // One odd answer from outside must never end the process.
  process.on('unhandledRejection', (error) =>
    log.error({ error: errorMessage(error) }, 'unhandled rejection'),
  );
  process.on('uncaughtException', (error) => log.error({ error: error.stack }, 'uncaught exception'));
  const node = new Controller({ settings, operators, features, log, random });
  if (features.failover) {
    process.once('SIGTERM', () => void node.leave().finally(() => process.exit(0)));
  }
  await node.run();
}

/** The features that are on, checked against the platform's settings. Their code is loaded only where it is used. */
async function checkedFeatures({ features: folder }: Options, settings: Settings): Promise<Features> {
  const features = loadFeatures(folder);
  if (features.failover) {
    const { checkFailover } = await import('../leadership/failover/failover-settings.js');
    checkFailover(settings, features.failover);
  }
  return features;
}

async function check(options: Options): Promise<void> {
  const settings = loadSettings(required(options.config));
  loadOperators(options.operators);
  await checkedFeatures(options, settings);
  for (const line of findTooSmallSettings(settings)) process.stderr.write(`plumyoke: warning: ${line}\n`);
  process.stdout.write(`${settings.member}: settings are valid\n`);
}

function parse(args: readonly string[]) {
  try {
    return parseArgs({
      args: [...args],
      allowPositionals: true,
      options: {
        config: { type: 'string', short: 'c' },
        operators: { type: 'string', short: 'o' },
        features: { type: 'string', short: 'f' },
        address: { type: 'string', short: 'a' },
        help: { type: 'boolean', short: 'h' },
      },
    });
  } catch (error) {
    throw new UsageError(errorMessage(error));
  }
}

async function runCommand(args: readonly string[]): Promise<void> {
  const { values, positionals } = parse(args);
  if (values.help) {
    process.stdout.write(HELP);
    return;
  }
  const [name = '', ...rest] = positionals;
  const command = COMMANDS[name];
  if (!command || rest.length > 0) {
    throw new UsageError(`expected one of the commands ${Object.keys(COMMANDS).join(', ')}`);
  }
  const { config, features, address } = values;
  const operators = values.operators ?? process.env['PLUMYOKE_OPERATORS'];
  await command.run({ config, operators, features, address });
}

/** Runs the command that the arguments name. Sets the exit code: 2 for unusable arguments or settings. */
export async function main(args: readonly string[]): Promise<void> {
  try {
    await runCommand(args);
  } catch (error) {
    process.stderr.write(`plumyoke: ${errorMessage(error)}\n`);
    if (error instanceof UsageError) process.stderr.write(`\n${HELP}`);
    const unusable = error instanceof InvalidSettingsError || error instanceof UsageError;
    process.exitCode = unusable ? EXIT_UNUSABLE : 1;
    if (!unusable) process.exit(1);
  }
}
