import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import * as z from 'zod/mini';
import { firstIssue } from '../wire/common.js';
import { type Settings, readSettings } from '../wire/settings.js';

const positive = z.number().check(z.positive());
const notNegative = z.number().check(z.nonnegative());
const share = z.number().check(z.gte(0), z.lte(1));

/** Adds a default to each field and keeps the whole section optional. */
const section = <T extends z.core.$ZodLooseShape>(shape: T) => z._default(z.strictObject(shape), {} as never);

/** The operators' own settings; every field has a default (docs/settings.md). */
const operators = z.strictObject({
  cluster: section({
    grant_s: z._default(positive, 2.5),
    answer_alone_s: z._default(notNegative, 15),
  }),
  forecast: section({
    slot_s: z._default(positive, 30),
    beta: z._default(share, 0.5),
    firm_beta: z._default(share, 0.85),
    hit_s: z._default(notNegative, 1),
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

/** The operators' settings, defaults filled in. */
export type Operators = z.infer<typeof operators>;

/** Settings that cannot be used; the message is one line naming the field. */
export class BadSettings extends Error {}

export const defaultOperators = (): Operators => readOperators({});

/** Checks the fields and fills in defaults. Throws `BadSettings`. */
export function readOperators(raw: unknown): Operators {
  const withSections = { cluster: {}, forecast: {}, fleet: {}, workers: {}, log: {}, ...(raw as object) };
  const read = operators.safeParse(withSections);
  if (!read.success) throw new Error(firstIssue(read.error));
  return read.data;
}

/** Reads a TOML file. Throws `BadSettings` naming the path and what is wrong. */
export function readToml<T>(path: string, read: (raw: unknown) => T): T {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (error) {
    throw new BadSettings(`${path}: cannot be read (${(error as NodeJS.ErrnoException).code ?? 'unknown'})`);
  }
  try {
    return read(parse(text));
  } catch (error) {
    const line = (error as Error).message.split('\n')[0] ?? 'invalid';
    throw new BadSettings(`${path}: ${line}`);
  }
}

export const loadSettings = (path: string): Settings => readToml(path, readSettings);

export const loadOperators = (path: string | undefined): Operators =>
  path === undefined ? defaultOperators() : readToml(path, readOperators);
