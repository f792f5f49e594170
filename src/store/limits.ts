import type { Settings, StateLimitsOf } from '../wire/settings.js';
import { StateRefused, StateTooLarge } from './client.js';
import { chunkTasks, CHUNK_TASKS } from './records.js';

/**
 * What the state service takes, as we know it. Its limits may fall without notice to those that the
 * settings announce. Sizes keep to the smaller of both from the first write on; rates stay as they are
 * until a refusal tells that they have fallen.
 */
export class StateLimits {
  readonly valueBytes: number;
  readonly txnOps: number;
  private fallen = false;
  private split = false;
  private readonly listeners: (() => void)[] = [];

  constructor(private readonly settings: Pick<Settings, 'state' | 'stateNext'>) {
    const { state, stateNext } = settings;
    this.valueBytes = Math.min(state.valueBytes, stateNext.valueBytes);
    this.txnOps = Math.min(state.txnOps, stateNext.txnOps);
  }

  private get rates(): StateLimitsOf {
    return this.fallen ? this.settings.stateNext : this.settings.state;
  }

  get rps(): number {
    return this.rates.rps;
  }

  get writeRps(): number {
    return this.rates.writeRps;
  }

  /** Called at once, and whenever a rate has changed. */
  whenRated(listener: () => void): void {
    this.listeners.push(listener);
    listener();
  }

  /** A call failed: a refusal for too much, or of something too large, tells of the limits. */
  failed(error: unknown): void {
    if (error instanceof StateTooLarge) this.tooLarge();
    else if (error instanceof StateRefused && error.tooMany) this.refused();
  }

  private refused(): void {
    const { state, stateNext } = this.settings;
    if (this.fallen || (stateNext.rps >= state.rps && stateNext.writeRps >= state.writeRps)) return;
    this.fallen = true;
    for (const listener of this.listeners) listener();
  }

  /** The service took something as too large: the announced limits hold. */
  private tooLarge(): void {
    this.split = true;
    this.refused();
  }

  /**
   * No controller is left that could not read split records: it could take over. Chunks of a job then
   * keep to the smaller limit; until then to the size that every version reads.
   */
  allRead(): void {
    this.split = true;
  }

  /** How many tasks share one record of progress, in a job of so many. */
  chunkTasks(tasks: number): number {
    const most = this.split ? chunkTasks(this.valueBytes) : CHUNK_TASKS;
    return tasks <= most ? CHUNK_TASKS : most;
  }
}
