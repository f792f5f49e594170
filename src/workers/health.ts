import type { LeaderContext } from '../cluster/context.js';
import type { Report } from '../model/report.js';
import { atMost, type Steady, plus, since } from '../model/time.js';
import type { Host } from './host-book.js';

const PROBES = 2;
/** A report's way here. */
const LATE_MS = 250;
/** Hearing nobody for this long while machines are up means that the fault is ours. */
const DEAF_MS = 7000;

/** Watches for silent machines and fences them; notices when it is the leader who is deaf. */
export class Health {
  private lastHeard: Steady;
  private readonly silentMs: number;

  constructor(
    private readonly ctx: LeaderContext,
    private readonly answerAloneMs: number,
    private readonly onReport: (host: Host, report: Report) => void,
    private readonly fence: (host: Host, why: string) => void,
    private readonly leaseOver: (host: Host) => void,
  ) {
    this.lastHeard = ctx.startedAt;
    // A healthy worker's reports lie up to a quarter more than `report_s` apart (PROTOCOL).
    const { silent_s: asked } = ctx.ops.workers;
    this.silentMs = asked === undefined ? ctx.settings.reportEvery * 1.25 + LATE_MS : asked * 1000;
  }

  heard(host: Host, now: Steady): void {
    host.heardAt = now;
    host.probes = 0;
    this.lastHeard = now;
    if (host.closed === 'silent' && !host.removing) host.closed = null;
  }

  /** True: the leader hears none of the machines that are up. */
  deaf(now: Steady): boolean {
    let up = 0;
    for (const host of this.ctx.hosts.hosts.values()) if (host.up || !host.empty) up++;
    return up >= 2 && since(now, this.lastHeard) > DEAF_MS;
  }

  tick(now: Steady): void {
    const silentMs = this.silentMs;
    const silent: Host[] = [];
    let up = 0;
    for (const host of this.ctx.hosts.hosts.values()) {
      if (!host.up && host.empty) continue;
      up++;
      // A host that holds a predecessor's tasks and was never heard counts from the takeover.
      const heard = host.heardAt ?? this.ctx.startedAt;
      if (since(now, heard) > silentMs) silent.push(host);
    }
    // Many at once: more likely a part of the network, or our own. Their reports may come another way.
    // All at once, however few: a deaf leader would fence healthy machines before it gives way.
    const all = up >= 2 && silent.length === up;
    const many = all || silent.length > Math.max(3, up * 0.4);
    for (const host of silent) {
      const quiet = since(now, host.heardAt ?? this.ctx.startedAt);
      if (host.probes < PROBES) this.probe(host);
      else if (!many || quiet > silentMs * 2.5) {
        host.closed = host.closed ?? 'silent';
        this.fence(host, 'silent');
      }
      if (this.leasePassed(host, now)) this.leaseOver(host);
    }
  }

  /**
   * The worker's lease has surely run out: its tasks were killed. An earlier leader may have gone
   * on answering for `answerAlone` after our takeover.
   */
  private leasePassed(host: Host, now: Steady): boolean {
    if (host.empty) return false;
    const alone = plus(this.ctx.startedAt, atMost(this.answerAloneMs));
    return now > host.leaseEnd(alone, atMost(this.ctx.settings.workerLease) + 1000);
  }

  private probe(host: Host): void {
    if (host.probing) return;
    if (host.address === '') {
      host.probes++;
      return;
    }
    host.probing = true;
    void this.ask(host).finally(() => {
      host.probing = false;
    });
  }

  /** Probes follow each other at once: every second counts for the replicas on a dead machine. */
  private async ask(host: Host): Promise<void> {
    while (host.probes < PROBES && !this.ctx.ended()) {
      try {
        const report = await this.ctx.workers.show(host.address, this.ctx.ops.workers.probe_s * 1000);
        if (!report || report.host !== host.id) throw new Error('not the worker asked for');
        this.heard(host, this.ctx.clock.now());
        this.onReport(host, report);
        return;
      } catch {
        host.probes++;
      }
    }
  }
}
