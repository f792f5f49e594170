import { HttpTarget, type Reply } from '../net/http-client.js';
import type { WorkerCaller } from '../cluster/context.js';
import type { Epoch, Tenure } from '../model/ids.js';
import type { Order, Report } from '../model/report.js';
import { commandBody, parseReport } from '../wire/workers.js';

const MOST_TARGETS = 300;

/** Calls to the workers' own addresses over kept connections. */
export class HttpWorkerCaller implements WorkerCaller {
  private readonly targets = new Map<string, HttpTarget>();

  private target(address: string): HttpTarget {
    let target = this.targets.get(address);
    if (!target) {
      target = new HttpTarget(address, 2);
      this.targets.set(address, target);
      if (this.targets.size > MOST_TARGETS) this.drop(this.targets.keys().next().value as string);
    }
    return target;
  }

  private drop(address: string): void {
    this.targets.get(address)?.close();
    this.targets.delete(address);
  }

  private static report(reply: Reply): Report | null {
    const parsed = parseReport(reply.body);
    return parsed.ok ? parsed.value : null;
  }

  async command(
    address: string,
    epoch: Epoch,
    tenure: Tenure,
    orders: readonly Order[],
    deadlineMs: number,
  ): Promise<{ executed: boolean; report: Report | null }> {
    const reply = await this.target(address).call(
      'POST',
      '/commands',
      commandBody(epoch, tenure, orders),
      deadlineMs,
    );
    return { executed: reply.status === 200, report: HttpWorkerCaller.report(reply) };
  }

  async show(address: string, deadlineMs: number): Promise<Report | null> {
    return HttpWorkerCaller.report(await this.target(address).call('GET', '/show', undefined, deadlineMs));
  }
}
