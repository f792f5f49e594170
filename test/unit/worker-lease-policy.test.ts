import { describe, expect, it } from 'vitest';
import { WorkerLeasePolicy } from '../../src/leader/worker-lease-policy.js';
import { ConfirmedCancellations } from '../../src/core/confirmed-cancellations.js';
import type { ControllerContext } from '../../src/core/context.js';
import { defaultOperators } from '../../src/config/operators.js';
import { silentLogger } from '../../src/log/logger.js';
import type { Epoch, JobId } from '../../src/model/ids.js';
import { type Millis, ms, seconds } from '../../src/model/time.js';
import type { PeerStatus } from '../../src/peer/peer-status.js';
import { VirtualClock } from '../simulation/clock.js';

type Word = PeerStatus | null;

function leader(cancelS: number, words: () => Word[]) {
  const clock = new VirtualClock();
  const cancellations = new ConfirmedCancellations(clock, seconds(cancelS));
  let unsureFor: Millis | null = null;
  const newer: number[] = [];
  const ctx = {
    clock,
    log: silentLogger,
    cancellations,
    settings: { cancellationLimit: seconds(cancelS), workerLeaseDuration: seconds(20) },
    operators: defaultOperators(),
    peers: { collectStatus: () => Promise.resolve(words()) },
  } as unknown as ControllerContext;
  const lease = { isLeaseValid: () => unsureFor === null, timeSinceLeaseExpiry: () => unsureFor ?? ms(0) };
  const answering = new WorkerLeasePolicy(ctx, lease, (epoch) => newer.push(epoch));
  answering.observedCancellationsUpTo(clock.now());
  /** Lives so many seconds without a grant, asking as a leader does; how long it answered. */
  const alone = async (s: number): Promise<number> => {
    let answered = 0;
    for (let t = 0; t < s; t += 0.5) {
      unsureFor = ms(t * 1000);
      if (answering.mayRenew(clock.now())) answered = t;
      await answering.pollPeers();
      await clock.advance(500);
    }
    return answered;
  };
  return { answering, alone, clock, cancellations, newer };
}

const word = (upFor: number, more: Partial<PeerStatus> = {}): Word => ({
  uptime: ms(upFor),
  leadingEpoch: null,
  cancellations: [],
  ...more,
});
const OLD = 3_600_000;

describe('a leader without a sure grant answers reports', () => {
  it('for as long as every other controller vouches for it', async () => {
    expect(await leader(40, () => [word(OLD), word(OLD)]).alone(120)).toBeGreaterThan(119);
  });

  it('for D once one of them doesn’t answer: another may lead, however much time a cancellation has', async () => {
    expect(await leader(400, () => [word(OLD), null]).alone(120)).toBe(14.5);
  });

  it('until an unknown cancellation’s limit leaves a lease no time, once one was started since', async () => {
    // 40 s, less a lease of 20 s and 5 s.
    expect(await leader(40, () => [word(OLD), word(100)]).alone(120)).toBe(14.5);
    expect(await leader(33, () => [word(OLD), word(100)]).alone(120)).toBe(7.5);
  });

  it('not at all after a newer epoch was named, and learns what the others have told', async () => {
    const told = [{ id: 'j-000007' as JobId, age: ms(900) }];
    const { alone, newer, cancellations } = leader(40, () => [
      word(OLD, { leadingEpoch: 9 as Epoch, cancellations: told }),
    ]);
    await alone(1);
    expect(newer).toContain(9);
    expect(cancellations.has('j-000007' as JobId)).toBe(true);
  });
});

describe('a leader with a sure grant', () => {
  it('stops answering too when it has not seen the cancellations for long', async () => {
    const { answering, clock } = leader(40, () => []);
    await clock.advance(14_900);
    expect(answering.mayRenew(clock.now())).toBe(true);
    await clock.advance(200);
    expect(answering.mayRenew(clock.now())).toBe(false);
  });
});
