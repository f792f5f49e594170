/** The command-line interface: the commands `serve`, `check-config` and `members`. */
import { parseArgs } from 'node:util';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { Controller } from '../controller/controller.js';
import { InvalidSettingsError, loadOperators, loadSettings } from '../config/operators.js';
import { printMembers } from './members.js';
import { findSettingsBelowMinimum } from '../config/settings-minimums.js';
import { type Features, loadFeatures } from '../config/features.js';
import { openLogger, errorMessage } from '../log/logger.js';
import type { Settings } from '../wire/settings.js';

/** The command-line options of all commands. */
interface Options {
  readonly config: string | undefined;
  readonly operators: string | undefined;
  /** The folder that contains the feature files. */
  readonly features: string | undefined;
  /** The address at which a running controller serves its peers. */
  readonly address: string | undefined;
}

/** A command and its description in the help text. */
interface Command {
  readonly description: string;
  readonly run: (options: Options) => void | Promise<void>;
}

/** Thrown for arguments that do not name exactly one command, contain an invalid option or lack a required one. */
class UsageError extends Error {
  override readonly name = 'UsageError';
  readonly code = 'USAGE';
}

const COMMANDS: Readonly<Record<string, Command>> = {
  serve: { description: 'run one controller until it is killed', run: serve },
  'check-config': {
    description: 'check the settings files and report problems',
    run: checkConfig,
  },
  members: {
    description: 'show the state of all controllers as a running controller sees them',
    run: ({ config, address }) => {
      if (address === undefined) requireConfig(config);
      return printMembers(config, address);
    },
  },
};

function requireConfig(config: string | undefined): string {
  if (config === undefined) throw new UsageError("option '--config <path>' is missing");
  return config;
}

const HELP = `Usage: plumyoke <command> --config <path> [options]

Schedules jobs on rented machines, and tolerates failures of controllers, machines and services.

Commands:
${Object.entries(COMMANDS)
  .map(([name, { description }]) => `  ${name.padEnd(14)}${description}`)
  .join('\n')}

Options:
  -c, --config <path>     the platform's settings file (TOML)
  -o, --operators <path>  the operators' own settings (TOML; or PLUMYOKE_OPERATORS)
  -f, --features <folder> the folder of feature files, each of which turns a feature on
  -a, --address <ip:port> members: the controller to query, by its cluster_listen; default: the controller of --config
  -h, --help              show this text
`;

/** The exit code for invalid settings or arguments. */
const EXIT_CODE_USAGE = 2;
/** The exit code for all errors other than invalid settings or arguments. */
const EXIT_CODE_FAILURE = 1;

async function serve(options: Options): Promise<void> {
  const settings = loadSettings(requireConfig(options.config));
  const operators = loadOperators(options.operators);
  const features = await loadCheckedFeatures(options, settings);
  const log = openLogger(settings.member);
  for (const line of findSettingsBelowMinimum(settings)) log.error({ field: line }, 'setting too small');
  const generator = xoroshiro128plus(Date.now() ^ (process.pid << 12));
  const random = (): number => uniformFloat64(generator);
  // Unexpected errors are logged only: an unexpected answer of another service must never end the process.
  process.on('unhandledRejection', (error) =>
    log.error({ error: errorMessage(error) }, 'unhandled rejection'),
  );
  process.on('uncaughtException', (error) => log.error({ error: error.stack }, 'uncaught exception'));
  const controller = new Controller({ settings, operators, features, log, random });
  if (features.failover) {
    process.once('SIGTERM', () => void controller.leave().finally(() => process.exit(0)));
  }
  await controller.run();
}

/**
 * Loads the feature files and checks the enabled features against the platform's settings. The code of a feature is
 * only imported if the feature is enabled.
 */
async function loadCheckedFeatures({ features: folder }: Options, settings: Settings): Promise<Features> {
  const features = loadFeatures(folder);
  if (features.failover) {
    const { checkFailover } = await import('../leadership/failover/failover-settings.js');
    checkFailover(settings, features.failover);
  }
  return features;
}

async function checkConfig(options: Options): Promise<void> {
  const settings = loadSettings(requireConfig(options.config));
  loadOperators(options.operators);
  await loadCheckedFeatures(options, settings);
  for (const line of findSettingsBelowMinimum(settings)) process.stderr.write(`plumyoke: warning: ${line}\n`);
  process.stdout.write(`${settings.member}: settings are valid\n`);
}

function parseArguments(args: readonly string[]) {
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
    throw new UsageError(errorMessage(error), { cause: error });
  }
}

async function runCommand(args: readonly string[]): Promise<void> {
  const { values, positionals } = parseArguments(args);
  if (values.help) {
    process.stdout.write(HELP);
    return;
  }
  const [name = '', ...extraArguments] = positionals;
  const command = COMMANDS[name];
  if (!command || extraArguments.length > 0) {
    throw new UsageError(
      `the arguments must name exactly one of the commands ${Object.keys(COMMANDS).join(', ')}`,
    );
  }
  const { config, features, address } = values;
  const operators = values.operators ?? process.env['PLUMYOKE_OPERATORS'];
  await command.run({ config, operators, features, address });
}

/**
 * Runs the command that the arguments name. Sets exit code 2 for invalid arguments or settings; any other error ends
 * the process with exit code 1.
 */
export async function main(args: readonly string[]): Promise<void> {
  try {
    await runCommand(args);
  } catch (error) {
    process.stderr.write(`plumyoke: ${errorMessage(error)}\n`);
    if (error instanceof UsageError) process.stderr.write(`\n${HELP}`);
    const isUsageError = error instanceof InvalidSettingsError || error instanceof UsageError;
    process.exitCode = isUsageError ? EXIT_CODE_USAGE : EXIT_CODE_FAILURE;
    // Exits explicitly, since sockets or timers of the failed command may keep the event loop running.
    if (!isUsageError) process.exit(EXIT_CODE_FAILURE);
  }
}
