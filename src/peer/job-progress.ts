/** Encodes and decodes the payload of `FrameKind.Progress`: the task counts of unfinished jobs. */
import { isJobId } from '../model/ids.js';
import type { JobTaskCounts } from '../model/job-task-counts.js';
import { MalformedFrameError, MAX_PAYLOAD_BYTES } from './frames.js';

/** Encoded size of a job's entry without the job name. */
const FIXED_BYTES_PER_JOB = 9;

/**
 * Encodes task counts; per job: u8 name length, name, u32 done, u32 running. A list that exceeds `maxBytes` is split
 * into several payloads; an empty list gives one empty payload.
 */
export function encodeProgress(jobs: readonly JobTaskCounts[], maxBytes = MAX_PAYLOAD_BYTES): Buffer[] {
  const payloads: Buffer[] = [];
  let start = 0;
  do {
    let size = 0;
    let end = start;
    for (; end < jobs.length; end++) {
      const length = FIXED_BYTES_PER_JOB + (jobs[end] as JobTaskCounts).id.length;
      if (size + length > maxBytes) break;
      size += length;
    }
    payloads.push(encodePayload(jobs.slice(start, end), size));
    start = end;
  } while (start < jobs.length);
  return payloads;
}

function encodePayload(jobs: readonly JobTaskCounts[], size: number): Buffer {
  const payload = Buffer.allocUnsafe(size);
  let offset = 0;
  for (const { id, done, running } of jobs) {
    payload.writeUInt8(id.length, offset);
    payload.write(id, offset + 1, 'ascii');
    payload.writeUInt32BE(done, offset + 1 + id.length);
    payload.writeUInt32BE(running, offset + 5 + id.length);
    offset += FIXED_BYTES_PER_JOB + id.length;
  }
  return payload;
}

/** Decodes one payload of task counts. Throws `MalformedFrameError`. */
export function decodeProgress(payload: Buffer): JobTaskCounts[] {
  const jobs: JobTaskCounts[] = [];
  for (let offset = 0; offset < payload.length;) {
    const length = payload.readUInt8(offset);
    if (offset + FIXED_BYTES_PER_JOB + length > payload.length) {
      throw new MalformedFrameError('truncated-payload', 'progress payload ends within the entry of a job');
    }
    const id = payload.toString('ascii', offset + 1, offset + 1 + length);
    if (!isJobId(id))
      throw new MalformedFrameError('invalid-payload', 'progress payload contains an invalid job name');
    jobs.push({
      id,
      done: payload.readUInt32BE(offset + 1 + length),
      running: payload.readUInt32BE(offset + 5 + length),
    });
    offset += FIXED_BYTES_PER_JOB + length;
  }
  return jobs;
}
