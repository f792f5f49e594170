/** The list of controllers as one of them sees it: the body that `plumyoke members` reads. */
import * as z from 'zod/mini';
import { nonNegativeNumber, nonNegativeInteger, shortName } from './common.js';

const memberSchema = z.object({
  member: shortName,
  state: shortName,
  forMs: nonNegativeNumber,
  connection: shortName,
  load: z.nullable(nonNegativeNumber),
  ready: z.boolean(),
  evidence: z.array(z.string()),
  /** What the member owns, as far as the observer knows: `cluster (epoch 7)`. */
  owns: z.array(z.string()),
});
const reportSchema = z.object({
  /** The controller that was asked. */
  observer: shortName,
  version: nonNegativeInteger,
  failureDetection: z.boolean(),
  members: z.array(memberSchema),
  /** Messages that were dropped, by reason. */
  dropped: z.record(z.string(), nonNegativeInteger),
});

/** One controller in the list. */
export type MemberLine = z.infer<typeof memberSchema>;
/** The list of controllers. */
export type MembersReport = z.infer<typeof reportSchema>;

/** Encodes the report. */
export function encodeMembersReport(report: MembersReport): Buffer {
  return Buffer.from(JSON.stringify(report));
}

/** Reads such a report. Throws on anything else. */
export function readMembersReport(body: unknown): MembersReport {
  return reportSchema.parse(body);
}
