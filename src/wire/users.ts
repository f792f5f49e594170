import * as z from 'zod/mini';
import type { ImageId, JobId, TeamId, MachineTypeId, ZoneId } from '../model/ids.js';
import { type JobSpec, type JobState, Priority } from '../model/job.js';
import { nonNegativeNumber, firstIssue, shortName } from './common.js';

const PRIORITIES = {
  production: Priority.Production,
  urgent: Priority.High,
  standard: Priority.Normal,
  idle: Priority.Low,
} as const;

const jobId = z.string().check(z.regex(/^j-\d{1,20}$/));

const submission = z.object({
  ref: jobId,
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
  awaits: z.nullish(z.array(jobId)),
});

/** What was read, or why it could not be. */
export type Parsed<T> = { ok: true; value: T } | { ok: false; error: string };

/** Checks every field of a submission. */
export function parseSubmission(body: unknown): Parsed<JobSpec> {
  const read = submission.safeParse(body);
  if (!read.success) return { ok: false, error: firstIssue(read.error) };
  const w = read.data;
  return {
    ok: true,
    value: {
      id: w.ref as JobId,
      jobClass: w.jobclass,
      team: w.owner as TeamId,
      kind: w.shape,
      priority: PRIORITIES[w.rank],
      taskCount: w.shards,
      cpus: w.cpus,
      gpus: w.gpus,
      memoryGb: w.memoryGb,
      image: w.bundle as ImageId,
      imageGb: w.pullGb,
      allowedTypes: (w.flavours as MachineTypeId[] | null | undefined) ?? null,
      zone: (w.hall as ZoneId | null | undefined) ?? null,
      zoneAffinity: w.samePlace,
      zoneAntiAffinity: w.apart,
      allowsSpot: w.reclaimable,
      estimatedRunS: w.expectedS,
      checkpointIntervalS: w.savepointS,
      checkpointWriteS: w.flushS,
      deadlineS: w.dueS ?? null,
      dependencies: [...new Set(w.awaits ?? [])] as JobId[],
      dependencyRecordCount: 0,
      descriptionRecordCount: 0,
    },
  };
}

/** Task counts for display. */
export interface Progress {
  readonly done: number;
  readonly running: number;
}

/** The body that tells a user that the job is accepted. */
export function accepted(id: JobId): object {
  return { ref: id, status: 'pending' };
}

/** The body that tells a user the state of a job. */
export function jobStatus(id: JobId, state: JobState, tasks: number, progress: Progress): object {
  switch (state) {
    case 'done':
      return { ref: id, status: 'done', done: tasks, running: 0 };
    case 'cancelled':
      return { ref: id, status: 'cancelled', done: progress.done, running: 0 };
    case 'accepted':
      return { ref: id, status: progress.running > 0 ? 'running' : 'pending', ...progress };
  }
}
