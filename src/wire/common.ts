import * as z from 'zod/mini';

export const count = z.int().check(z.nonnegative());
export const amount = z.number().check(z.nonnegative());
export const word = z.string().check(z.minLength(1), z.maxLength(200));

/** One clear line naming the first field at fault. */
export function firstIssue(error: z.core.$ZodError): string {
  const issue = error.issues[0];
  if (!issue) return 'invalid';
  const where = issue.path.map(String).join('.');
  return where ? `${where}: ${issue.message}` : issue.message;
}
