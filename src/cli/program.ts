/** The command line: `serve` and `check-config`. */
import { parseArgs } from 'node:util';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { Node } from '../cluster/node.js';
import { BadSettings, loadOperators, loadSettings } from '../config/operators.js';
import { tooSmall } from '../config/limits.js';
import { openLog, reason } from '../log/logger.js';

/** What a command is called with. */
interface Options {
  readonly config: string;
  readonly operators: string | undefined;
}

/** One command, its line in the help, and what it does. */
interface Command {
  readonly description: string;
  readonly run: (options: Options) => void | Promise<void>;
}

/** Arguments that name no command or miss an option; the message is one line. */
class BadUsage extends Error {}

const COMMANDS: Readonly<Record<string, Command>> = {
  serve: { description: 'run one controller until it is killed', run: serve },
  'check-config': { description: 'check the settings files and say what is wrong with them', run: check },
};

const HELP = `Usage: plumyoke <command> --config <path> [--operators <path>]

Schedules jobs on rented machines, through any failure.

Commands:
${Object.entries(COMMANDS)
  .map(([name, { description }]) => `  ${name.padEnd(14)}${description}`)
  .join('\n')}

Options:
  -c, --config <path>     the platform's settings file (TOML)
  -o, --operators <path>  the operators' own settings (TOML; or PLUMYOKE_OPERATORS)
  -h, --help              show this text
`;

/** The exit code for settings or arguments that cannot be used. */
const EXIT_UNUSABLE = 2;

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

function parse(args: readonly string[]) {
  try {
    return parseArgs({
      args: [...args],
      allowPositionals: true,
      options: {
        config: { type: 'string', short: 'c' },
        operators: { type: 'string', short: 'o' },
        help: { type: 'boolean', short: 'h' },
      },
    });
  } catch (error) {
    throw new BadUsage(reason(error));
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
  if (!command || rest.length > 0) throw new BadUsage('expected one of the commands serve, check-config');
  if (values.config === undefined) throw new BadUsage("option '--config <path>' is missing");
  const operators = values.operators ?? process.env['PLUMYOKE_OPERATORS'];
  await command.run({ config: values.config, operators });
}

/** Runs the command that the arguments name. Sets the exit code: 2 for unusable arguments or settings. */
export async function main(args: readonly string[]): Promise<void> {
  try {
    await runCommand(args);
  } catch (error) {
    process.stderr.write(`plumyoke: ${reason(error)}\n`);
    if (error instanceof BadUsage) process.stderr.write(`\n${HELP}`);
    const unusable = error instanceof BadSettings || error instanceof BadUsage;
    process.exitCode = unusable ? EXIT_UNUSABLE : 1;
    if (!unusable) process.exit(1);
  }
}
