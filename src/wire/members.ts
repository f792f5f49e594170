/** Codec of the list of controllers as one controller sees it. The command `plumyoke members` reads this body. */
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
  /** Resources that the member owns, as far as the observer knows: `cluster (epoch 7)`. */
  owns: z.array(z.string()),
});
const reportSchema = z.object({
  /** The controller that answers the request. */
  observer: shortName,
  version: nonNegativeInteger,
  failureDetection: z.boolean(),
  members: z.array(memberSchema),
  /** Number of dropped failure detector messages, by reason. */
  dropped: z.record(z.string(), nonNegativeInteger),
});

/** Entry of one controller in the list of controllers. */
export type MemberEntry = z.infer<typeof memberSchema>;
/** The list of controllers as the observer sees it. */
export type MembersReport = z.infer<typeof reportSchema>;

/** Encodes the list of controllers as a response body. */
export function encodeMembersReport(report: MembersReport): Buffer {
  return Buffer.from(JSON.stringify(report));
}

/** Decodes the list of controllers. Throws if the body has another form. */
export function readMembersReport(body: unknown): MembersReport {
  return reportSchema.parse(body);
}
