import { describe, expect, it } from 'vitest';
import type { SimulatedSite } from '../simulation/simulated-site.js';
import { startedSite, runUntil } from './steps.js';
import { expectTrace } from './trace.js';

/** The leader's next commit gets no answer and is carried out so much later; waits until it has left. */
async function delayNext(site: SimulatedSite, ms: number): Promise<void> {
  const leader = site.leader as string;
  site.store.nextCommitDelayMs.set(leader, ms);
  while (site.store.nextCommitDelayMs.has(leader)) await site.run(0.005);
  site.trace(`state      holds a commit of ${leader} for ${ms / 1000} s`);
}

describe('a transaction that is not answered and is carried out late', () => {
  it('does not undo a newer one of the same controller, also when a successor reads right after it', async () => {
    const site = await startedSite();
    // Two machines, so that a lost task finds room at once.
    await site.submit({ ref: 'j-000009', kind: 'service', tasks: 2, cpus: 5, team: 'blue' });
    await runUntil(site, () => site.runningTaskCount('j-000009') === 2);
    await site.submit({ ref: 'j-000001', runS: 200 });
    await delayNext(site, 20_000);
    const lands = site.clock.now() + 20_000;
    await runUntil(site, () => site.runningTaskCount('j-000001') === 1);
    site.killMachine(site.machineOf('j-000001/0'));
    await runUntil(site, () => site.runningTaskCount('j-000001') === 1, 15);
    await site.run((lands - site.clock.now()) / 1000 + 0.1);
    site.crash(site.leader as string);
    await site.run(30);
    expect(site.runningTaskCount('j-000001')).toBe(1);
    await expectTrace('late-chunk', site);
  });

  it('of a job that is done fails once its cancellation was confirmed by another controller', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', runS: 5 });
    await runUntil(site, () => site.runningTaskCount('j-000001') === 1);
    while (site.runningTaskCount('j-000001') === 1) await site.run(0.01);
    await delayNext(site, 400);
    const other = site.nodes.find((node) => node !== site.leader) as string;
    expect(await site.cancel('j-000001', other)).toBe('cancelled');
    await site.run(20);
    expect(await site.query('j-000001')).toBe('cancelled');
    await expectTrace('done-against-cancel', site);
  });
});
