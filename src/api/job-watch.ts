/** Follows the changes of all job records, and confirms on request that none is missing. */
import type { ControllerContext } from '../core/context.js';
import { errorMessage } from '../log/logger.js';
import type { Revision } from '../model/ids.js';
import { sleep } from '../model/time.js';
import type { WatchResult } from '../store/client.js';
import { isRateLimitedError, StoreRefusedError } from '../store/errors.js';
import { decodeJobChanges, type JobChange } from '../store/job-changes.js';
import { keys } from '../store/keys.js';
import type { OpenJobPreloader } from './open-job-preloader.js';

const WATCH_TIMEOUT_MS = 20_000;
const WATCH_RETRY_DELAY_MS = 300;
const RATE_LIMIT_RETRY_DELAY_MS = 100;
/** The fraction of the store's request limit that all controllers together may use to confirm their positions. */
const CATCH_UP_RATIO = 0.1;
const MIN_CATCH_UP_INTERVAL_MS = 100;
/** A query that waits for a confirmation is answered within 1.5 s. */
const MAX_CATCH_UP_INTERVAL_MS = 500;

/** Receives the job records as they change. */
export interface JobChangeListener {
  /** Called with the changes in the order of their revisions; each change is passed on once. */
  onJobChanges(changes: readonly JobChange[]): void;
  /** Called when changes have been missed; all open jobs are loaded again. */
  onChangesMissed(): void;
}

/**
 * Passes on every change of a job record after the open jobs have been loaded. Two requests read changes: a long poll,
 * which delivers them soon, and `catchUp`, which proves that all changes up to its call have been delivered.
 */
export class JobWatch {
  /** The revision up to which all changes have been passed on; null: the open jobs are not loaded. */
  private position: Revision | null = null;
  private loading: Promise<void> | null = null;
  /** The confirmation that has not been sent yet; requests that arrive meanwhile share it. */
  private nextCatchUp: Promise<void> | null = null;

  constructor(
    private readonly ctx: Pick<
      ControllerContext,
      'clock' | 'log' | 'random' | 'settings' | 'store' | 'storeLimits'
    >,
    private readonly preloader: Pick<OpenJobPreloader, 'load'>,
    private readonly listener: JobChangeListener,
  ) {}

  /**
   * Loads the open jobs and watches all job records until the process exits. Skips unreadable records. If the store has
   * compacted the watched revision, the open jobs are loaded again.
   */
  async run(): Promise<void> {
    const { clock, log, random, store } = this.ctx;
    for (;;) {
      try {
        const position = await this.loadedPosition();
        this.apply(await store.watch(keys.jobs, position, WATCH_TIMEOUT_MS));
      } catch (error) {
        log.debug({ error: errorMessage(error) }, 'job cache watch interrupted');
        await sleep(clock, WATCH_RETRY_DELAY_MS + random() * WATCH_RETRY_DELAY_MS);
      }
    }
  }

  /**
   * Resolves once every change that the store made before this call has been passed on. The calls of one interval share
   * a request, so that the cost does not depend on the number of queries or jobs. Rejects with the errors of the store
   * client.
   */
  catchUp(): Promise<void> {
    this.nextCatchUp ??= this.sendCatchUp();
    return this.nextCatchUp;
  }

  private async sendCatchUp(): Promise<void> {
    await sleep(this.ctx.clock, this.catchUpIntervalMs);
    // From here on the request may be sent, so a later call needs another one.
    this.nextCatchUp = null;
    const position = await this.loadedPosition();
    this.apply(await this.readChanges(position));
    if (this.position === null) throw new StoreRefusedError('job changes compacted; jobs are loaded again');
  }

  /** The time over which calls of `catchUp` share a request, in milliseconds. */
  private get catchUpIntervalMs(): number {
    const controllerCount = this.ctx.settings.peers.length + 1;
    const requestsPerS = (this.ctx.storeLimits.rps * CATCH_UP_RATIO) / controllerCount;
    return Math.min(MAX_CATCH_UP_INTERVAL_MS, Math.max(MIN_CATCH_UP_INTERVAL_MS, 1000 / requestsPerS));
  }

  private async loadedPosition(): Promise<Revision> {
    while (this.position === null) {
      this.loading ??= this.load().finally(() => (this.loading = null));
      await this.loading;
    }
    return this.position;
  }

  private async load(): Promise<void> {
    this.position = await this.preloader.load();
  }

  private async readChanges(after: Revision): Promise<WatchResult> {
    const { clock, store } = this.ctx;
    try {
      return await store.changes(keys.jobs, after);
    } catch (error) {
      if (!isRateLimitedError(error)) throw error;
      await sleep(clock, RATE_LIMIT_RETRY_DELAY_MS);
      return store.changes(keys.jobs, after);
    }
  }

  /** Passes on the changes that are new: an answer may arrive after that to a later request. */
  private apply(result: WatchResult): void {
    const { position } = this;
    if (position === null) return;
    if (result === null) {
      this.position = null;
      this.listener.onChangesMissed();
      return;
    }
    if (result.revision <= position) return;
    this.position = result.revision;
    const newEvents = result.changes.filter(({ revision }) => revision > position);
    // Debug level: the leader's watch logs the same unreadable record as an error.
    const onUnreadable = (key: string): void => this.ctx.log.debug({ key }, 'job record unreadable');
    this.listener.onJobChanges(decodeJobChanges(newEvents, onUnreadable));
  }
}
