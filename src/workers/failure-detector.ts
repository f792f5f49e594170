import type { LeaderContext } from '../core/context.js';
import type { ZoneId } from '../model/ids.js';
import type { Report } from '../model/heartbeat.js';
import { NoSocket } from '../net/http-client.js';
import { usableShare } from '../wire/settings.js';
import { atMost, type Millis, ms, type Steady, plus, since } from '../model/time.js';
import type { Host } from './state/worker.js';

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

interface ZoneSurvey {
  up: number;
  lost: number;
  /** Machines that are asked between their reports, and those of them that do not answer. */
  asked: number;
  mute: number;
}

/** What one look at all machines has found. */
interface Survey {
  up: number;
  readonly lost: Host[];
  readonly mute: Host[];
  /** Machines that hold replicas and have said nothing for a while. */
  readonly unheard: Host[];
  readonly zones: Map<ZoneId, ZoneSurvey>;
}

/** What was found of the host's zone; undefined: the zone is not known. */
function zoneOf(host: Host, zones: ReadonlyMap<ZoneId, ZoneSurvey>): ZoneSurvey | undefined {
  const id = host.presumed?.machine.zone;
  return id === undefined ? undefined : zones.get(id);
}

/**
 * Many at once: more likely a part of the network, or our own. Their reports may come another way.
 * All at once, however few: a deaf leader would fence healthy machines before it gives way.
 */
function isCut(host: Host, { up, lost, zones }: Survey): boolean {
  const all = up >= 2 && lost.length === up;
  if (all || lost.length > Math.max(FEW_LOST, up * MANY)) return true;
  const zone = zoneOf(host, zones);
  return zone !== undefined && zone.lost > Math.max(FEW_LOST, zone.up * MOST_OF_A_ZONE);
}

/**
 * Watches for machines that are silent, or heard and not reached, and fences them; notices when it
 * is the leader who is deaf.
 */
export class Health {
  private lastHeard: Steady;
  private heardAny = false;
  private lastTick: Steady;
  private strangerAt: Steady;
  private asked = 0;
  private probing = 0;
  /** Early questions that one tick may ask. */
  private readonly askedPerTick: number;
  private readonly silent: Millis;
  private readonly unreached: Millis;

  constructor(
    private readonly ctx: LeaderContext,
    private readonly answerAloneMs: number,
    private readonly onReport: (host: Host, report: Report) => void,
    private readonly fence: (host: Host, why: string) => void,
    private readonly leaseOver: (host: Host) => void,
  ) {
    const processorMs = TICK_MS * usableShare(ctx.settings) * ASKED_PROCESSOR_SHARE;
    this.askedPerTick = Math.max(1, Math.floor(processorMs / QUESTION_MS));
    this.lastHeard = ctx.startedAt;
    this.lastTick = ctx.startedAt;
    this.strangerAt = ctx.startedAt;
    // A healthy worker's reports lie up to a quarter more than `report_s` apart (PROTOCOL).
    const { silent_s: asked } = ctx.ops.workers;
    this.silent = ms(asked === undefined ? ctx.settings.reportEvery * 1.25 + LATE_MS : asked * 1000);
    // One change of controller and two reports: then an answered worker has shown that it is.
    this.unreached = ms(2 * this.silent + ANSWER_MS);
  }

  heard(host: Host, now: Steady): void {
    host.heardAt = now;
    host.metAt ??= now;
    this.lastHeard = now;
    this.heardAny = true;
    // One that is heard and not reached stays under suspicion: only a contact clears it.
    if (this.lost(host, now)) return;
    host.probes = 0;
    if (host.closed === 'silent' && !host.removing) host.closed = null;
  }

  /** A machine was answered before we had read that it exists. */
  answeredStranger(now: Steady): void {
    this.strangerAt = now;
  }

  /** Nobody is judged while it is not sure that we lead; leases that run out meanwhile still do. */
  unsure(now: Steady): void {
    this.lastTick = now;
    for (const host of this.ctx.hosts.values()) if (this.leasePassed(host, now)) this.leaseOver(host);
  }

  private silentFor(host: Host, now: Steady): Millis {
    // A host that holds a predecessor's tasks and was never heard counts from the takeover.
    return since(now, host.heardAt ?? this.ctx.startedAt);
  }

  /** Silent, or heard without a sign that our answers arrive. */
  private lost(host: Host, now: Steady): boolean {
    if (this.silentFor(host, now) > this.silent) return true;
    const contact = host.contactAt ?? host.metAt ?? this.ctx.startedAt;
    return since(now, contact) > this.unreached;
  }

  /** True: the leader hears none of the machines that are up. */
  deaf(now: Steady): boolean {
    const held = since(now, this.lastTick);
    // Held up ourselves, we have not listened either.
    if (held > TICK_LATE_MS) this.lastHeard = plus(this.lastHeard, held);
    let up = 0;
    let overdue = 0;
    for (const host of this.ctx.hosts.values()) {
      if (!host.up && host.empty) continue;
      up++;
      if (this.silentFor(host, now) > this.silent) overdue++;
    }
    if (up < 2) return false;
    // After a takeover all machines may report at the same moments, and between these nobody is heard.
    if (this.heardAny && overdue < up * DEAF_OVERDUE) return false;
    const expected = (this.ctx.settings.reportEvery / up) * DEAF_REPORTS;
    return since(now, this.lastHeard) > Math.min(DEAF_MOST_MS, Math.max(DEAF_LEAST_MS, expected));
  }

  /** Looks at every machine, and fences those that are lost. */
  tick(now: Steady): void {
    const survey = this.survey(now);
    this.askLongestSilent(survey.unheard, now);
    for (const host of survey.mute) this.fenceMute(host, survey);
    for (const host of survey.lost) this.judge(host, survey, now);
  }

  private survey(now: Steady): Survey {
    const late = since(now, this.lastTick) > TICK_LATE_MS;
    this.lastTick = now;
    const survey: Survey = { up: 0, lost: [], mute: [], unheard: [], zones: new Map() };
    for (const host of this.ctx.hosts.values()) {
      if (!host.up && host.empty) continue;
      survey.up++;
      const zone = zoneOf(host, survey.zones) ?? { up: 0, lost: 0, asked: 0, mute: 0 };
      if (host.presumed) survey.zones.set(host.presumed.machine.zone, zone);
      zone.up++;
      if (late) host.probes = 0;
      else this.look(host, zone, survey, now);
    }
    return survey;
  }

  private look(host: Host, zone: ZoneSurvey, survey: Survey, now: Steady): void {
    if (this.lost(host, now)) {
      survey.lost.push(host);
      zone.lost++;
      return;
    }
    if (!this.askedEarly(host)) return;
    zone.asked++;
    if (this.silentFor(host, now) < ASK_AFTER_MS) return;
    if (host.probes >= PROBES) {
      survey.mute.push(host);
      zone.mute++;
    } else survey.unheard.push(host);
  }

  /** Several at once are judged by their reports: it may be a cut. */
  private fenceMute(host: Host, survey: Survey): void {
    const zone = zoneOf(host, survey.zones);
    if (!zone || zone.mute > Math.max(FEW_MUTE, zone.asked * MANY_MUTE)) return;
    host.closed ??= 'silent';
    this.fence(host, 'does not answer');
  }

  private judge(host: Host, survey: Survey, now: Steady): void {
    if (host.probes < PROBES) this.probe(host);
    else if (!isCut(host, survey) || this.givenUp(host, now)) {
      host.closed ??= 'silent';
      this.fence(host, 'silent');
    }
    if (this.leasePassed(host, now)) this.leaseOver(host);
  }

  /**
   * Behind a cut the work goes on, and what it completes is kept: its machines are fenced only
   * shortly before their leases would end it.
   */
  private givenUp(host: Host, now: Steady): boolean {
    const givenUpAfter = this.ctx.settings.workerLease * CUT_PATIENCE;
    return since(now, host.answeredAt ?? this.ctx.startedAt) > givenUpAfter;
  }

  /**
   * The worker's lease has surely run out: its tasks were killed. An earlier leader may have gone
   * on answering for `answerAlone` after our takeover, or after its grant was sure for the last time.
   */
  private leasePassed(host: Host, now: Steady): boolean {
    if (host.empty) return false;
    const alone = plus(this.ctx.startedAt, atMost(this.answerAloneMs));
    const from = this.strangerAt > alone ? this.strangerAt : alone;
    return now > host.leaseEnd(from, atMost(this.ctx.settings.workerLease) + 1000);
  }

  /** A machine with replicas is asked between its reports, if direct calls reach it at all. */
  private askedEarly(host: Host): boolean {
    if (!host.known || host.address === '' || host.unreachable > 0 || host.removing) return false;
    return host.hasReplicas;
  }

  /**
   * One that hangs rises to the head of the list. With every silent machine asked, the questions were reckoned to
   * take a third of a leader's time on a tenth of a core, and reports and decisions waited.
   */
  private askLongestSilent(hosts: Host[], now: Steady): void {
    if (this.ctx.load() > BUSY_LOAD) return;
    hosts.sort((a, b) => this.silentFor(b, now) - this.silentFor(a, now));
    for (const host of hosts.slice(0, this.askedPerTick)) this.askEarly(host);
  }

  private askEarly(host: Host): void {
    if (host.probing || this.asked >= Math.max(1, this.ctx.workerCalls * ASKED_SHARE)) return;
    if (this.probing >= this.ctx.workerCalls) return;
    this.asked++;
    this.probe(host, () => {
      this.asked--;
    });
  }

  private probe(host: Host, over?: () => void): void {
    if (host.probing) return;
    if (host.address === '') {
      host.probes++;
      return;
    }
    if (this.probing >= this.ctx.workerCalls) return;
    host.probing = true;
    this.probing++;
    void this.ask(host).finally(() => {
      host.probing = false;
      this.probing--;
      over?.();
    });
  }

  /**
   * Probes follow each other at once: every second counts for the replicas on a dead machine. The
   * last one takes every way: a direct one that fails may be a cut between it and us alone.
   */
  private async ask(host: Host): Promise<void> {
    const before = host.heardAt;
    while (host.probes < PROBES && !this.ctx.ended()) {
      const last = host.probes === PROBES - 1;
      const began = this.ctx.clock.now();
      const deadline = this.ctx.ops.workers.probe_s * 1000;
      try {
        const report = await this.ctx.workers.show(
          host.address,
          deadline,
          last || this.silentFor(host, this.ctx.clock.now()) > this.silent,
        );
        if (!report || report.host !== host.id) throw new Error('not the worker asked for');
        const now = this.ctx.clock.now();
        host.contactAt = now;
        host.unreachable = 0;
        this.heard(host, now);
        this.onReport(host, report);
        return;
      } catch (error) {
        // Our own lack of sockets says nothing of the machine.
        if (error instanceof NoSocket) return;
        // Nor does a deadline that we noticed late: the answer may lie unread, as after a takeover.
        if (since(this.ctx.clock.now(), began) > deadline * HELD_UP) return;
        host.probes++;
        if (host.heardAt === before || this.lost(host, this.ctx.clock.now())) continue;
        // It reports and is not reached: from now on its reports alone tell whether it lives.
        host.unreachable++;
        host.failedAt = this.ctx.clock.now();
        host.probes = 0;
        return;
      }
    }
  }
}
