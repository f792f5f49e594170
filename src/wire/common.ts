/** Schemas shared by the codecs of this folder, and the formatting of validation errors. */
import * as z from 'zod/mini';

/** A non-negative safe integer. */
export const nonNegativeInteger = z.int().check(z.nonnegative());
export const nonNegativeNumber = z.number().check(z.nonnegative());
/** A name of 1 to 200 characters. */
export const shortName = z.string().check(z.minLength(1), z.maxLength(200));

function describeIssue(issue: z.core.$ZodIssue): string {
  switch (issue.code) {
    case 'invalid_type':
      return issue.input === undefined
        ? `missing or not of type ${issue.expected}`
        : `not of type ${issue.expected}`;
    case 'unrecognized_keys':
      return `unknown field ${issue.keys.join(', ')}`;
    case 'too_small':
      return `below ${issue.minimum}`;
    case 'too_big':
      return `above ${issue.maximum}`;
    case 'invalid_value':
      return `not one of ${issue.values.join(', ')}`;
    default:
      return issue.message;
  }
}

/**
 * Formats the first issue of a validation error as one line that names the field, unless the whole value is at fault.
 */
export function formatFirstIssue(error: z.core.$ZodError): string {
  const issue = error.issues[0];
  if (!issue) return 'invalid value';
  const path = issue.path.map(String).join('.');
  return path ? `${path}: ${describeIssue(issue)}` : describeIssue(issue);
}
