/** The operators' own settings: their TOML file's form, and the same in the program's terms. */
import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import * as z from 'zod/mini';
import { errorMessage } from '../log/logger.js';
import { type Millis, seconds } from '../model/time.js';
import { firstIssue } from '../wire/common.js';
import { type Settings, readSettings } from '../wire/settings.js';

const positive = z.number().check(z.positive());
const nonNegative = z.number().check(z.nonnegative());
const share = z.number().check(z.gte(0), z.lte(1));

/** A section whose fields all have defaults, so that it may be left out. */
const section = <T extends z.core.$ZodLooseShape>(shape: T) => z._default(z.strictObject(shape), {} as never);

/** The operators' file. Names and defaults are part of its form (docs/settings.md). */
const operatorsFile = z.strictObject({
  cluster: section({
    grant_s: z._default(positive, 2.5),
    answer_alone_s: z._default(nonNegative, 15),
  }),
  forecast: section({
    slot_s: z._default(positive, 30),
    beta: z._default(share, 0.5),
    firm_beta: z._default(share, 0.85),
    hit_s: z._default(nonNegative, 1),
    idle_cost: z._default(positive, 30),
    average_slots: z._default(z.int().check(z.gte(1)), 4),
  }),
  fleet: section({
    give_back_s: z._default(positive, 10),
    spot_give_back_s: z._default(positive, 20),
    boot_patience: z._default(positive, 4),
    max_machines: z._default(z.int().check(z.gte(1)), 10_000),
  }),
  workers: section({
    silent_s: z.optional(positive),
    probe_s: z._default(positive, 0.8),
    sick_errors: z._default(z.int().check(z.gte(1)), 3),
  }),
  log: section({ summary_s: z._default(positive, 10) }),
});

/** The operators' settings in the program's terms, defaults filled in. */
export interface OperatorSettings {
  readonly leadership: {
    /** The time to live of the leader's lease (`cluster.grant_s`). */
    readonly leaseTtl: Millis;
    /** How long a leader whose lease may have expired goes on renewing workers' leases (`cluster.answer_alone_s`). */
    readonly maxRenewalWithoutQuorum: Millis;
  };
  readonly forecast: {
    /** The length of a forecast slot (`slot_s`). */
    readonly slot: Millis;
    /** The paper's beta, the weight of waiting against waste, for spot machines (`beta`). */
    readonly spotBeta: number;
    /** The same for on-demand machines (`firm_beta`). */
    readonly onDemandBeta: number;
    /** The wait when a machine is there, in seconds (`hit_s`). */
    readonly hitS: number;
    /** What a machine that idles for a slot costs, in seconds of waiting (`idle_cost`). */
    readonly idleCostS: number;
    /** Slots that the moving average takes (`average_slots`). */
    readonly averageSlots: number;
  };
  readonly fleet: {
    /** How long an on-demand machine idles before it is deleted (`give_back_s`). */
    readonly idleTimeout: Millis;
    /** The same for a spot machine (`spot_give_back_s`). */
    readonly spotIdleTimeout: Millis;
    /** A boot may take so many times the usual time of its type (`boot_patience`). */
    readonly bootPatience: number;
    readonly maxMachines: number;
  };
  readonly workers: {
    /** A worker is suspected after this long without a heartbeat; null: by the heartbeat interval (`silent_s`). */
    readonly silenceTimeout: Millis | null;
    /** The deadline of a probe (`probe_s`). */
    readonly probeTimeout: Millis;
    /** Failed tasks in a row after which a machine is cordoned (`sick_errors`). */
    readonly maxTaskFailures: number;
  };
  readonly log: {
    /** The interval of the `summary` line (`summary_s`). */
    readonly summaryInterval: Millis;
  };
}

/** Settings or feature files that cannot be used; the message is one line naming the field. */
export class InvalidSettingsError extends Error {
  override readonly name = 'InvalidSettingsError';
  readonly code = 'INVALID_SETTINGS';
}

/** The settings of operators who have none of their own. */
export const defaultOperators = (): OperatorSettings => readOperators({});

/** Checks the operators' file and fills in defaults. Throws an error whose message is one line naming the field. */
export function readOperators(raw: unknown): OperatorSettings {
  const withSections = { cluster: {}, forecast: {}, fleet: {}, workers: {}, log: {}, ...(raw as object) };
  const read = operatorsFile.safeParse(withSections);
  if (!read.success) throw new Error(firstIssue(read.error));
  return toSettings(read.data);
}

function toSettings(file: z.infer<typeof operatorsFile>): OperatorSettings {
  const { cluster, forecast, fleet, workers, log } = file;
  return {
    leadership: {
      leaseTtl: seconds(cluster.grant_s),
      maxRenewalWithoutQuorum: seconds(cluster.answer_alone_s),
    },
    forecast: {
      slot: seconds(forecast.slot_s),
      spotBeta: forecast.beta,
      onDemandBeta: forecast.firm_beta,
      hitS: forecast.hit_s,
      idleCostS: forecast.idle_cost,
      averageSlots: forecast.average_slots,
    },
    fleet: {
      idleTimeout: seconds(fleet.give_back_s),
      spotIdleTimeout: seconds(fleet.spot_give_back_s),
      bootPatience: fleet.boot_patience,
      maxMachines: fleet.max_machines,
    },
    workers: {
      silenceTimeout: workers.silent_s === undefined ? null : seconds(workers.silent_s),
      probeTimeout: seconds(workers.probe_s),
      maxTaskFailures: workers.sick_errors,
    },
    log: { summaryInterval: seconds(log.summary_s) },
  };
}

/** Reads a TOML file. Throws `InvalidSettingsError` naming the path and what is wrong. */
export function readToml<T>(path: string, read: (raw: unknown) => T): T {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (error) {
    const code = (error as NodeJS.ErrnoException).code ?? 'unknown';
    throw new InvalidSettingsError(`${path}: cannot be read (${code})`, { cause: error });
  }
  try {
    return read(parse(text));
  } catch (error) {
    const [firstLine = 'invalid'] = errorMessage(error).split('\n');
    throw new InvalidSettingsError(`${path}: ${firstLine}`, { cause: error });
  }
}

/** Reads the platform's settings file. Throws `InvalidSettingsError`. */
export const loadSettings = (path: string): Settings => readToml(path, readSettings);

/** Reads the operators' file; without a path, the defaults. Throws `InvalidSettingsError`. */
export const loadOperators = (path: string | undefined): OperatorSettings =>
  path === undefined ? defaultOperators() : readToml(path, readOperators);
