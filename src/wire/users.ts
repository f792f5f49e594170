/** Codecs of users' submissions and of the answers to users. */
import * as z from 'zod/mini';
import type { ImageId, JobId, TeamId, MachineTypeId, ZoneId } from '../model/ids.js';
import { type JobSpec, type JobState, Priority } from '../model/job.js';
import { nonNegativeNumber, formatFirstIssue, shortName } from './common.js';

/** Priorities by their names in the wire field `rank`. */
const PRIORITIES_BY_RANK = {
  production: Priority.Production,
  urgent: Priority.High,
  standard: Priority.Normal,
  idle: Priority.Low,
} as const;

const jobIdSchema = z.string().check(z.regex(/^j-\d{1,20}$/));

const submissionSchema = z.object({
  ref: jobIdSchema,
  jobclass: shortName,
  owner: shortName,
  shape: z.enum(['array', 'service']),
  rank: z.enum(['production', 'urgent', 'standard', 'idle']),
  shards: z.int().check(z.gte(1), z.lte(100_000)),
  cpus: nonNegativeNumber,
  gpus: nonNegativeNumber,
  memoryGb: nonNegativeNumber,
  bundle: shortName,
  pullGb: nonNegativeNumber,
  flavours: z.nullish(z.array(shortName)),
  hall: z.nullish(shortName),
  samePlace: z.boolean(),
  apart: z.boolean(),
  reclaimable: z.boolean(),
  expectedS: nonNegativeNumber,
  savepointS: nonNegativeNumber,
  flushS: nonNegativeNumber,
  dueS: z.nullish(nonNegativeNumber),
  awaits: z.nullish(z.array(jobIdSchema)),
});

/** A parsed message, or a one-line error that names the invalid field. */
export type ParseResult<T> = { ok: true; value: T } | { ok: false; error: string };

/** Decodes a submission and validates all its fields. */
export function parseSubmission(body: unknown): ParseResult<JobSpec> {
  const parsed = submissionSchema.safeParse(body);
  if (!parsed.success) return { ok: false, error: formatFirstIssue(parsed.error) };
  const wire = parsed.data;
  return {
    ok: true,
    value: {
      id: wire.ref as JobId,
      jobClass: wire.jobclass,
      team: wire.owner as TeamId,
      kind: wire.shape,
      priority: PRIORITIES_BY_RANK[wire.rank],
      taskCount: wire.shards,
      cpus: wire.cpus,
      gpus: wire.gpus,
      memoryGb: wire.memoryGb,
      image: wire.bundle as ImageId,
      imageGb: wire.pullGb,
      allowedTypes: (wire.flavours as MachineTypeId[] | null | undefined) ?? null,
      zone: (wire.hall as ZoneId | null | undefined) ?? null,
      zoneAffinity: wire.samePlace,
      zoneAntiAffinity: wire.apart,
      allowsSpot: wire.reclaimable,
      estimatedRunS: wire.expectedS,
      checkpointIntervalS: wire.savepointS,
      checkpointWriteS: wire.flushS,
      deadlineS: wire.dueS ?? null,
      dependencies: [...new Set(wire.awaits ?? [])] as JobId[],
      dependencyRecordCount: 0,
      descriptionRecordCount: 0,
    },
  };
}

/** Task counts of a job, for display to users. */
export interface TaskCounts {
  readonly done: number;
  readonly running: number;
}

/** Encodes the answer to an accepted submission. */
export function accepted(id: JobId): object {
  return { ref: id, status: 'pending' };
}

/** Encodes the answer to a user's query for a job. For a done job, the number of done tasks is `taskCount`. */
export function jobStatus(id: JobId, state: JobState, taskCount: number, progress: TaskCounts): object {
  switch (state) {
    case 'done':
      return { ref: id, status: 'done', done: taskCount, running: 0 };
    case 'cancelled':
      return { ref: id, status: 'cancelled', done: progress.done, running: 0 };
    case 'accepted':
      return { ref: id, status: progress.running > 0 ? 'running' : 'pending', ...progress };
  }
}
