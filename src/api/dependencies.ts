import type { ControllerContext } from '../core/context.js';
import type { JobId } from '../model/ids.js';
import type { JobRecord, JobSpec } from '../model/job.js';
import { keys } from '../store/keys.js';
import type { RevisionConfirmations, JobCache } from './job-cache.js';

/** A job as it is accepted: with the dependencies that are left. */
export interface Acceptable {
  readonly spec: JobSpec;
  readonly state: 'accepted' | 'cancelled';
}

/** Looks at so many unknown jobs at a time. */
const AT_ONCE = 8;

/**
 * What users' requests need to know of the jobs that a job names. Done and cancelled are final: once
 * seen they need no further question.
 */
export class Dependencies {
  constructor(
    private readonly ctx: ControllerContext,
    private readonly cache: JobCache,
    private readonly confirmations: RevisionConfirmations,
    /** Reads a job's record; what it says is in the cache from then on. */
    private readonly lookAt: (id: JobId) => Promise<JobRecord | null>,
  ) {}

  /** Why the job can never run; null: every job that it names was accepted and can be done. */
  async fault(spec: JobSpec): Promise<string | null> {
    if (spec.dependencies.includes(spec.id)) return 'awaits names the job itself';
    const unknown: JobId[] = [];
    for (const id of spec.dependencies) {
      const known = this.cache.known(id);
      if (known?.kind === 'service') return `awaits names the service ${id}`;
      if (!known && this.cache.finalState(id) !== 'done') unknown.push(id);
    }
    for (let i = 0; i < unknown.length; i += AT_ONCE) {
      const ids = unknown.slice(i, i + AT_ONCE);
      const records = await Promise.all(ids.map((id) => this.lookAt(id)));
      for (const [n, record] of records.entries()) {
        if (!record) return `awaits names ${ids[n]}, which was never accepted`;
        if (record.spec.kind === 'service') return `awaits names the service ${ids[n]}`;
      }
    }
    return null;
  }

  /** After `fault`: without what is done, and cancelled if one of them is. */
  left(spec: JobSpec): Acceptable {
    const dependencies = spec.dependencies.filter((id) => this.cache.finalState(id) !== 'done');
    const cancelled = dependencies.some((id) => this.cache.finalState(id) === 'cancelled');
    if (cancelled) return { spec: { ...spec, dependencies: [] }, state: 'cancelled' };
    return { spec: { ...spec, dependencies }, state: 'accepted' };
  }

  /**
   * Whether a job that this one needs, directly or through others, is cancelled. Asked for every answer
   * that calls a waiting job pending: it must not be called so long after one before it was cancelled,
   * even when no leader could write that yet.
   */
  async anyCancelled(id: JobId): Promise<boolean> {
    const seen = new Set<JobId>([id]);
    let level = await this.directly(id);
    while (level.length > 0) {
      const next: JobId[] = [];
      const ids = level.filter((one) => !seen.has(one));
      for (const one of ids) seen.add(one);
      const ends = await Promise.all(ids.map((one) => this.stateOf(one)));
      if (ends.includes('cancelled')) return true;
      for (const [n, one] of ids.entries())
        if (ends[n] === 'accepted') next.push(...(await this.directly(one)));
      level = next;
    }
    return false;
  }

  private async stateOf(id: JobId): Promise<JobRecord['state']> {
    const final = this.cache.finalState(id);
    if (final) return final;
    const known = this.cache.known(id);
    if (known && (await this.confirmations.same(keys.job(id), known.revision))) return 'accepted';
    return (await this.lookAt(id))?.state ?? 'accepted';
  }

  /** The jobs that it names and that are not known to be done. */
  private async directly(id: JobId): Promise<JobId[]> {
    const known = this.cache.known(id);
    if (!known) return [];
    const ids = [...known.dependencies];
    for (let n = 0; n < known.dependencyRecords; n++) {
      const row = await this.ctx.store.get(keys.dependencies(id, n));
      if (row) ids.push(...(row.value as JobId[]));
    }
    return ids.filter((one) => this.cache.finalState(one) !== 'done');
  }
}
