/** Pieces of schemas, and the one line that names what is wrong with a message. */
import * as z from 'zod/mini';

export const nonNegativeInteger = z.int().check(z.nonnegative());
export const nonNegativeNumber = z.number().check(z.nonnegative());
/** A non-empty name of bounded length. */
export const shortName = z.string().check(z.minLength(1), z.maxLength(200));

function describeIssue(issue: z.core.$ZodIssue): string {
  switch (issue.code) {
    case 'invalid_type':
      return issue.input === undefined ? `missing, or no ${issue.expected}` : `no ${issue.expected}`;
    case 'unrecognized_keys':
      return `unknown field ${issue.keys.join(', ')}`;
    case 'too_small':
      return `below ${issue.minimum}`;
    case 'too_big':
      return `above ${issue.maximum}`;
    case 'invalid_value':
      return `none of ${issue.values.join(', ')}`;
    default:
      return issue.message;
  }
}

/** Formats the first issue as one line that names its field. */
export function firstIssue(error: z.core.$ZodError): string {
  const issue = error.issues[0];
  if (!issue) return 'invalid';
  const where = issue.path.map(String).join('.');
  return where ? `${where}: ${describeIssue(issue)}` : describeIssue(issue);
}
