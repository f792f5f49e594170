/** The operators' settings: the schema of their TOML file, and the internal representation. */
import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import * as z from 'zod/mini';
import { errorMessage } from '../log/logger.js';
import { type Millis, seconds } from '../model/time.js';
import { formatFirstIssue } from '../wire/common.js';
import { type Settings, readSettings } from '../wire/settings.js';

const positive = z.number().check(z.positive());
const nonNegative = z.number().check(z.nonnegative());
const share = z.number().check(z.gte(0), z.lte(1));

/** Returns the schema of a section whose fields are all optional, so that the whole section may be omitted. */
const section = <T extends z.core.$ZodLooseShape>(shape: T) => z._default(z.strictObject(shape), {} as never);

/** The schema of the operators' file. Field names and defaults are part of the file format (docs/settings.md). */
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

/** The operators' settings with all defaults applied. Each comment names the field of the file in parentheses. */
export interface OperatorSettings {
  readonly leadership: {
    /** The time to live of the leader's lease (`cluster.grant_s`). */
    readonly leaseTtl: Millis;
    /**
     * The maximum time for which a leader whose lease may have expired keeps renewing worker leases
     * (`cluster.answer_alone_s`); the platform's cancellation limit may shorten this time.
     */
    readonly maxRenewalWithoutQuorum: Millis;
  };
  readonly forecast: {
    /** The length of a forecast slot (`slot_s`). */
    readonly slot: Millis;
    /** The paper's beta, which weighs waiting time against idle machines, for spot machines (`beta`). */
    readonly spotBeta: number;
    /** The paper's beta, which weighs waiting time against idle machines, for on-demand machines (`firm_beta`). */
    readonly onDemandBeta: number;
    /** The waiting time of a task for which a machine is available, in seconds (`hit_s`). */
    readonly hitS: number;
    /** The cost of a machine that is idle for one slot, in seconds of waiting time (`idle_cost`). */
    readonly idleCostS: number;
    /** The number of slots in the window of the moving average (`average_slots`). */
    readonly averageSlots: number;
  };
  readonly fleet: {
    /** The idle time after which an on-demand machine is deleted (`give_back_s`). */
    readonly idleTimeout: Millis;
    /** The idle time after which a spot machine is deleted (`spot_give_back_s`). */
    readonly spotIdleTimeout: Millis;
    /** The maximum boot time of a machine, as a multiple of the usual boot time of its type (`boot_patience`). */
    readonly bootPatience: number;
    readonly maxMachines: number;
  };
  readonly workers: {
    /**
     * The time without a heartbeat after which a worker is suspected; null: derived from the heartbeat interval
     * (`silent_s`).
     */
    readonly silenceTimeout: Millis | null;
    /** The timeout of a worker probe (`probe_s`). */
    readonly probeTimeout: Millis;
    /** The number of consecutive failed tasks after which a machine is cordoned (`sick_errors`). */
    readonly maxTaskFailures: number;
  };
  readonly log: {
    /** The interval of the `summary` line (`summary_s`). */
    readonly summaryInterval: Millis;
  };
}

/**
 * Thrown for settings or feature files that are unreadable or invalid; the message is one line that names the file and,
 * if a field is invalid, the field.
 */
export class InvalidSettingsError extends Error {
  override readonly name = 'InvalidSettingsError';
  readonly code = 'INVALID_SETTINGS';
}

/** Returns the settings that apply without an operators' file. */
export const defaultOperators = (): OperatorSettings => readOperators({});

/**
 * Validates the operators' file and applies the defaults. Throws an error with a one-line message that names the field.
 */
export function readOperators(raw: unknown): OperatorSettings {
  const withSections = { cluster: {}, forecast: {}, fleet: {}, workers: {}, log: {}, ...(raw as object) };
  const parsed = operatorsFile.safeParse(withSections);
  if (!parsed.success) throw new Error(formatFirstIssue(parsed.error));
  return toSettings(parsed.data);
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

/** Reads and decodes a TOML file. Throws `InvalidSettingsError`, which names the path and the problem. */
export function readToml<T>(path: string, decode: (raw: unknown) => T): T {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (error) {
    const code = (error as NodeJS.ErrnoException).code ?? 'unknown';
    throw new InvalidSettingsError(`${path}: cannot be read (${code})`, { cause: error });
  }
  try {
    return decode(parse(text));
  } catch (error) {
    const [firstLine = 'not valid TOML'] = errorMessage(error).split('\n');
    throw new InvalidSettingsError(`${path}: ${firstLine}`, { cause: error });
  }
}

/** Reads the platform's settings file. Throws `InvalidSettingsError` if the file is unreadable or invalid. */
export const loadSettings = (path: string): Settings => readToml(path, readSettings);

/**
 * Reads the operators' file; returns the defaults without a path. Throws `InvalidSettingsError` if the file is
 * unreadable or invalid.
 */
export const loadOperators = (path: string | undefined): OperatorSettings =>
  path === undefined ? defaultOperators() : readToml(path, readOperators);
