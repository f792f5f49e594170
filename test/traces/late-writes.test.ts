import { describe, expect, it } from 'vitest';
import type { SimulatedSite } from '../simulation/simulated-site.js';
import { startedSite, runUntil } from './steps.js';
import { expectTrace } from './trace.js';

/** Delays the execution of the leader's next transaction by `ms` without an answer; resolves once it has been sent. */
async function delayNextTransaction(site: SimulatedSite, ms: number): Promise<void> {
  const leader = site.leader as string;
  site.store.nextCommitDelayMs.set(leader, ms);
  while (site.store.nextCommitDelayMs.has(leader)) await site.run(0.005);
  site.trace(`state      holds a commit of ${leader} for ${ms / 1000} s`);
}

describe('a transaction that gets no answer and is executed late', () => {
  it('does not undo a newer transaction of the same controller, even if a successor reads the records right afterwards', async () => {
    const site = await startedSite();
    // The service occupies two machines, so that a lost task can restart without a new machine.
    await site.submit({ ref: 'j-000009', kind: 'service', tasks: 2, cpus: 5, team: 'blue' });
    await runUntil(site, () => site.runningTaskCount('j-000009') === 2);
    await site.submit({ ref: 'j-000001', runS: 200 });
    await delayNextTransaction(site, 20_000);
    const executedAt = site.clock.now() + 20_000;
    await runUntil(site, () => site.runningTaskCount('j-000001') === 1);
    site.killMachine(site.machineOf('j-000001/0'));
    await runUntil(site, () => site.runningTaskCount('j-000001') === 1, 15);
    await site.run((executedAt - site.clock.now()) / 1000 + 0.1);
    site.crash(site.leader as string);
    await site.run(30);
    expect(site.runningTaskCount('j-000001')).toBe(1);
    await expectTrace('late-chunk', site);
  });

  it('that records a job as done fails if another controller has confirmed the cancellation of the job', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', runS: 5 });
    await runUntil(site, () => site.runningTaskCount('j-000001') === 1);
    while (site.runningTaskCount('j-000001') === 1) await site.run(0.01);
    await delayNextTransaction(site, 400);
    const otherNode = site.nodes.find((node) => node !== site.leader) as string;
    expect(await site.cancel('j-000001', otherNode)).toBe('cancelled');
    await site.run(20);
    expect(await site.query('j-000001')).toBe('cancelled');
    await expectTrace('done-against-cancel', site);
  });
});
