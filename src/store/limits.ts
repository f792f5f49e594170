import type { Cancel, Clock } from '../model/time.js';
import type { Settings, StateLimitsOf } from '../wire/settings.js';
import { StateRefused, StateTooLarge } from './client.js';
import { chunkTasks, CHUNK_TASKS } from './records.js';

/** The announced rates are kept to for so long after the first refusal, and twice as long after each further one. */
const FIRST_HELD_MS = 20_000;

/**
 * What the state service takes, as we know it. Its limits may fall without notice to those that the
 * settings announce. Sizes keep to the smaller of both from the first write on; rates follow
 * a refusal at once, and are tried again ever more rarely.
 */
export class StateLimits {
  readonly valueBytes: number;
  readonly txnOps: number;
  private fallen = false;
  private held = FIRST_HELD_MS;
  private split = false;
  private readonly listeners = new Set<() => void>();

  constructor(
    private readonly settings: Pick<Settings, 'state' | 'stateNext'>,
    private readonly clock: Clock,
  ) {
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

  /** Called at once, and whenever a rate has changed, until it is called off. */
  whenRated(listener: () => void): Cancel {
    this.listeners.add(listener);
    listener();
    return () => this.listeners.delete(listener);
  }

  /** A call failed: a refusal for too much, or of something too large, tells of the limits. */
  failed(error: unknown): void {
    if (error instanceof StateTooLarge) this.tooLarge();
    else if (error instanceof StateRefused && error.tooMany) this.refused();
  }

  private refused(): void {
    const { state, stateNext } = this.settings;
    if (this.fallen || (stateNext.rps >= state.rps && stateNext.writeRps >= state.writeRps)) return;
    this.rate(true);
    // A crowd of submissions is refused too, long before the limits fall: then the old rates still hold.
    this.clock.after(this.held, () => this.rate(false));
    this.held *= 2;
  }

  private rate(fallen: boolean): void {
    this.fallen = fallen;
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
