import type { LeaderContext } from '../core/context.js';
import type { ZoneId } from '../model/ids.js';
import type { Heartbeat } from '../model/heartbeat.js';
import { NoSocketError } from '../net/http-client.js';
import { usableShare } from '../wire/settings.js';
import { maxLocalDuration, type Millis, ms, type MonotonicTime, plus, since } from '../model/time.js';
import type { Worker } from './state/worker.js';

const PROBES = 2;
/** A report's way here. */
const LATE_MS = 250;
/** How long a worker waits for an answer before it tries another controller (PROTOCOL). */
const ANSWER_MS = 5000;
/**
 * Hearing nobody for as long as so many reports should have taken means that the fault is ours;
 * but within these bounds.
 */
const DEAF_REPORTS = 40;
const DEAF_LEAST_MS = 2000;
const DEAF_MOST_MS = 7000;
/** And so many machines must have let a report's time pass. */
const DEAF_OVERDUE = 0.03;
/** A tick that comes later than this finds its own process held up: nobody is judged by it. */
const TICK_LATE_MS = 700;
/** A probe that took so many times its deadline tells of our own process. */
const HELD_UP = 1.25;
/** Replicas do not run on a machine that hangs: such a machine is asked when it has said nothing for this long. */
const ASK_AFTER_MS = 2000;
/** The part of the direct calls that such early questions may be. */
const ASKED_SHARE = 0.5;
/** The part of our processor time that they may take, and what one takes; a busy leader asks none. */
const ASKED_PROCESSOR_SHARE = 0.1;
const QUESTION_MS = 0.4;
const TICK_MS = 500;
const BUSY_LOAD = 0.75;
/** More machines lost at once than this share are no machines' failure, but the network's. */
const MANY = 0.4;
const MOST_OF_A_ZONE = 0.8;
const MANY_MUTE = 0.3;
/** The part of a lease after which machines behind a cut are given up. */
const CUT_PATIENCE = 0.7;

/** Fewer than so many are no cut, whatever their share. */
const FEW_LOST = 3;
const FEW_MUTE = 2;

interface ZoneHealth {
  up: number;
  lost: number;
  /** Machines that are asked between their reports, and those of them that do not answer. */
  asked: number;
  mute: number;
}

/** What one look at all machines has found. */
interface FleetHealthSnapshot {
  up: number;
  readonly lost: Worker[];
  readonly mute: Worker[];
  /** Machines that hold replicas and have said nothing for a while. */
  readonly unheard: Worker[];
  readonly zones: Map<ZoneId, ZoneHealth>;
}

/** What was found of the host's zone; undefined: the zone is not known. */
function zoneOf(worker: Worker, zones: ReadonlyMap<ZoneId, ZoneHealth>): ZoneHealth | undefined {
  const id = worker.presumedFacts?.machine.zone;
  return id === undefined ? undefined : zones.get(id);
}

/**
 * Many at once: more likely a part of the network, or our own. Their reports may come another way.
 * All at once, however few: a deaf leader would fence healthy machines before it gives way.
 */
function isCut(worker: Worker, { up, lost, zones }: FleetHealthSnapshot): boolean {
  const all = up >= 2 && lost.length === up;
  if (all || lost.length > Math.max(FEW_LOST, up * MANY)) return true;
  const zone = zoneOf(worker, zones);
  return zone !== undefined && zone.lost > Math.max(FEW_LOST, zone.up * MOST_OF_A_ZONE);
}

/**
 * Watches for machines that are silent, or heard and not reached, and fences them; notices when it
 * is the leader who is deaf.
 */
export class WorkerFailureDetector {
  private lastHeard: MonotonicTime;
  private heardAny = false;
  private lastTick: MonotonicTime;
  private strangerAt: MonotonicTime;
  private asked = 0;
  private probing = 0;
  /** Early questions that one tick may ask. */
  private readonly askedPerTick: number;
  private readonly silent: Millis;
  private readonly unreached: Millis;

  constructor(
    private readonly ctx: LeaderContext,
    private readonly answerAloneMs: number,
    private readonly onReport: (worker: Worker, heartbeat: Heartbeat) => void,
    private readonly fence: (worker: Worker, why: string) => void,
    private readonly leaseOver: (worker: Worker) => void,
  ) {
    const processorMs = TICK_MS * usableShare(ctx.settings) * ASKED_PROCESSOR_SHARE;
    this.askedPerTick = Math.max(1, Math.floor(processorMs / QUESTION_MS));
    this.lastHeard = ctx.startedAt;
    this.lastTick = ctx.startedAt;
    this.strangerAt = ctx.startedAt;
    // A healthy worker's reports lie up to a quarter more than `report_s` apart (PROTOCOL).
    const { silenceTimeout } = ctx.operators.workers;
    this.silent = silenceTimeout ?? ms(ctx.settings.heartbeatInterval * 1.25 + LATE_MS);
    // One change of controller and two reports: then an answered worker has shown that it is.
    this.unreached = ms(2 * this.silent + ANSWER_MS);
  }

  recordHeartbeat(worker: Worker, now: MonotonicTime): void {
    worker.lastHeartbeatAt = now;
    worker.firstHeartbeatAt ??= now;
    this.lastHeard = now;
    this.heardAny = true;
    // One that is heard and not reached stays under suspicion: only a contact clears it.
    if (this.lost(worker, now)) return;
    worker.failedProbes = 0;
    if (worker.cordon === 'unresponsive' && !worker.isRemoving) worker.cordon = null;
  }

  /** A machine was answered before we had read that it exists. */
  recordAnswerToUnknownMachine(now: MonotonicTime): void {
    this.strangerAt = now;
  }

  /** Nobody is judged while it is not sure that we lead; leases that run out meanwhile still do. */
  checkLeases(now: MonotonicTime): void {
    this.lastTick = now;
    for (const worker of this.ctx.workers.values()) if (this.leasePassed(worker, now)) this.leaseOver(worker);
  }

  private silentFor(worker: Worker, now: MonotonicTime): Millis {
    // A host that holds a predecessor's tasks and was never heard counts from the takeover.
    return since(now, worker.lastHeartbeatAt ?? this.ctx.startedAt);
  }

  /** Silent, or heard without a sign that our answers arrive. */
  private lost(worker: Worker, now: MonotonicTime): boolean {
    if (this.silentFor(worker, now) > this.silent) return true;
    const contact = worker.lastContactAt ?? worker.firstHeartbeatAt ?? this.ctx.startedAt;
    return since(now, contact) > this.unreached;
  }

  /** True: the leader hears none of the machines that are up. */
  isInboundPartitioned(now: MonotonicTime): boolean {
    const held = since(now, this.lastTick);
    // Held up ourselves, we have not listened either.
    if (held > TICK_LATE_MS) this.lastHeard = plus(this.lastHeard, held);
    let up = 0;
    let overdue = 0;
    for (const worker of this.ctx.workers.values()) {
      if (!worker.isUp && worker.isEmpty) continue;
      up++;
      if (this.silentFor(worker, now) > this.silent) overdue++;
    }
    if (up < 2) return false;
    // After a takeover all machines may report at the same moments, and between these nobody is heard.
    if (this.heardAny && overdue < up * DEAF_OVERDUE) return false;
    const expected = (this.ctx.settings.heartbeatInterval / up) * DEAF_REPORTS;
    return since(now, this.lastHeard) > Math.min(DEAF_MOST_MS, Math.max(DEAF_LEAST_MS, expected));
  }

  /** Looks at every machine, and fences those that are lost. */
  tick(now: MonotonicTime): void {
    const survey = this.survey(now);
    this.askLongestSilent(survey.unheard, now);
    for (const worker of survey.mute) this.fenceMute(worker, survey);
    for (const worker of survey.lost) this.judge(worker, survey, now);
  }

  private survey(now: MonotonicTime): FleetHealthSnapshot {
    const late = since(now, this.lastTick) > TICK_LATE_MS;
    this.lastTick = now;
    const survey: FleetHealthSnapshot = { up: 0, lost: [], mute: [], unheard: [], zones: new Map() };
    for (const worker of this.ctx.workers.values()) {
      if (!worker.isUp && worker.isEmpty) continue;
      survey.up++;
      const zone = zoneOf(worker, survey.zones) ?? { up: 0, lost: 0, asked: 0, mute: 0 };
      if (worker.presumedFacts) survey.zones.set(worker.presumedFacts.machine.zone, zone);
      zone.up++;
      if (late) worker.failedProbes = 0;
      else this.look(worker, zone, survey, now);
    }
    return survey;
  }

  private look(worker: Worker, zone: ZoneHealth, survey: FleetHealthSnapshot, now: MonotonicTime): void {
    if (this.lost(worker, now)) {
      survey.lost.push(worker);
      zone.lost++;
      return;
    }
    if (!this.askedEarly(worker)) return;
    zone.asked++;
    if (this.silentFor(worker, now) < ASK_AFTER_MS) return;
    if (worker.failedProbes >= PROBES) {
      survey.mute.push(worker);
      zone.mute++;
    } else survey.unheard.push(worker);
  }

  /** Several at once are judged by their reports: it may be a cut. */
  private fenceMute(worker: Worker, survey: FleetHealthSnapshot): void {
    const zone = zoneOf(worker, survey.zones);
    if (!zone || zone.mute > Math.max(FEW_MUTE, zone.asked * MANY_MUTE)) return;
    worker.cordon ??= 'unresponsive';
    this.fence(worker, 'does not answer');
  }

  private judge(worker: Worker, survey: FleetHealthSnapshot, now: MonotonicTime): void {
    if (worker.failedProbes < PROBES) this.probe(worker);
    else if (!isCut(worker, survey) || this.givenUp(worker, now)) {
      worker.cordon ??= 'unresponsive';
      this.fence(worker, 'silent');
    }
    if (this.leasePassed(worker, now)) this.leaseOver(worker);
  }

  /**
   * Behind a cut the work goes on, and what it completes is kept: its machines are fenced only
   * shortly before their leases would end it.
   */
  private givenUp(worker: Worker, now: MonotonicTime): boolean {
    const givenUpAfter = this.ctx.settings.workerLeaseDuration * CUT_PATIENCE;
    return since(now, worker.lastAnsweredAt ?? this.ctx.startedAt) > givenUpAfter;
  }

  /**
   * The worker's lease has surely run out: its tasks were killed. An earlier leader may have gone
   * on answering for `answerAlone` after our takeover, or after its grant was sure for the last time.
   */
  private leasePassed(worker: Worker, now: MonotonicTime): boolean {
    if (worker.isEmpty) return false;
    const alone = plus(this.ctx.startedAt, maxLocalDuration(this.answerAloneMs));
    const from = this.strangerAt > alone ? this.strangerAt : alone;
    return now > worker.leaseExpiry(from, maxLocalDuration(this.ctx.settings.workerLeaseDuration) + 1000);
  }

  /** A machine with replicas is asked between its reports, if direct calls reach it at all. */
  private askedEarly(worker: Worker): boolean {
    if (!worker.hasReported || worker.address === '' || worker.failedCalls > 0 || worker.isRemoving)
      return false;
    return worker.hasReplicas;
  }

  /**
   * One that hangs rises to the head of the list. With every silent machine asked, the questions were reckoned to
   * take a third of a leader's time on a tenth of a core, and reports and decisions waited.
   */
  private askLongestSilent(workers: Worker[], now: MonotonicTime): void {
    if (this.ctx.load() > BUSY_LOAD) return;
    workers.sort((a, b) => this.silentFor(b, now) - this.silentFor(a, now));
    for (const worker of workers.slice(0, this.askedPerTick)) this.askEarly(worker);
  }

  private askEarly(worker: Worker): void {
    if (worker.isProbing || this.asked >= Math.max(1, this.ctx.maxConcurrentWorkerCalls * ASKED_SHARE))
      return;
    if (this.probing >= this.ctx.maxConcurrentWorkerCalls) return;
    this.asked++;
    this.probe(worker, () => {
      this.asked--;
    });
  }

  private probe(worker: Worker, over?: () => void): void {
    if (worker.isProbing) return;
    if (worker.address === '') {
      worker.failedProbes++;
      return;
    }
    if (this.probing >= this.ctx.maxConcurrentWorkerCalls) return;
    worker.isProbing = true;
    this.probing++;
    void this.ask(worker).finally(() => {
      worker.isProbing = false;
      this.probing--;
      over?.();
    });
  }

  /**
   * Probes follow each other at once: every second counts for the replicas on a dead machine. The
   * last one takes every way: a direct one that fails may be a cut between it and us alone.
   */
  private async ask(worker: Worker): Promise<void> {
    const before = worker.lastHeartbeatAt;
    while (worker.failedProbes < PROBES && !this.ctx.isEnded()) {
      const last = worker.failedProbes === PROBES - 1;
      const began = this.ctx.clock.now();
      const deadline = this.ctx.operators.workers.probeTimeout;
      try {
        const heartbeat = await this.ctx.workerClient.fetchHeartbeat(
          worker.address,
          deadline,
          last || this.silentFor(worker, this.ctx.clock.now()) > this.silent,
        );
        if (!heartbeat || heartbeat.machine !== worker.id) throw new Error('not the worker asked for');
        const now = this.ctx.clock.now();
        worker.lastContactAt = now;
        worker.failedCalls = 0;
        this.recordHeartbeat(worker, now);
        this.onReport(worker, heartbeat);
        return;
      } catch (error) {
        // Our own lack of sockets says nothing of the machine.
        if (error instanceof NoSocketError) return;
        // Nor does a deadline that we noticed late: the answer may lie unread, as after a takeover.
        if (since(this.ctx.clock.now(), began) > deadline * HELD_UP) return;
        worker.failedProbes++;
        if (worker.lastHeartbeatAt === before || this.lost(worker, this.ctx.clock.now())) continue;
        // It reports and is not reached: from now on its reports alone tell whether it lives.
        worker.failedCalls++;
        worker.lastCallFailedAt = this.ctx.clock.now();
        worker.failedProbes = 0;
        return;
      }
    }
  }
}
