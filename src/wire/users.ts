import * as z from 'zod/mini';
import type { ImageId, JobId, TeamId, TypeId, ZoneId } from '../model/ids.js';
import { type JobSpec, type JobState, Priority } from '../model/job.js';
import { amount, firstIssue, word } from './common.js';

const PRIORITIES = {
  production: Priority.Production,
  urgent: Priority.High,
  standard: Priority.Normal,
  idle: Priority.Low,
} as const;

const jobId = z.string().check(z.regex(/^j-\d{1,20}$/));

const submission = z.object({
  ref: jobId,
  jobclass: word,
  owner: word,
  shape: z.enum(['array', 'service']),
  rank: z.enum(['production', 'urgent', 'standard', 'idle']),
  shards: z.int().check(z.gte(1), z.lte(100_000)),
  cpus: amount,
  gpus: amount,
  memoryGb: amount,
  bundle: word,
  pullGb: amount,
  flavours: z.nullish(z.array(word)),
  hall: z.nullish(word),
  samePlace: z.boolean(),
  apart: z.boolean(),
  reclaimable: z.boolean(),
  expectedS: amount,
  savepointS: amount,
  flushS: amount,
  dueS: z.nullish(amount),
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
      tasks: w.shards,
      cpus: w.cpus,
      gpus: w.gpus,
      memoryGb: w.memoryGb,
      image: w.bundle as ImageId,
      imageGb: w.pullGb,
      types: (w.flavours as TypeId[] | null | undefined) ?? null,
      zone: (w.hall as ZoneId | null | undefined) ?? null,
      oneZone: w.samePlace,
      spread: w.apart,
      spot: w.reclaimable,
      estimateS: w.expectedS,
      checkpointS: w.savepointS,
      saveS: w.flushS,
      deadlineS: w.dueS ?? null,
      dependencies: [...new Set(w.awaits ?? [])] as JobId[],
      dependencyRecords: 0,
      descriptionRecords: 0,
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
