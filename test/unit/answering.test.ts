import { describe, expect, it } from 'vitest';
import { Answering } from '../../src/leader/worker-lease-policy.js';
import { Cancellations } from '../../src/core/confirmed-cancellations.js';
import type { NodeContext } from '../../src/core/context.js';
import { defaultOperators } from '../../src/config/operators.js';
import { silentLog } from '../../src/log/logger.js';
import type { Epoch, JobId } from '../../src/model/ids.js';
import { type Millis, ms, seconds } from '../../src/model/time.js';
import type { CancellationsWord } from '../../src/peer/frames.js';
import { VirtualClock } from '../standins/clock.js';

type Word = CancellationsWord | null;

function leader(cancelS: number, words: () => Word[]) {
  const clock = new VirtualClock();
  const cancellations = new Cancellations(clock, seconds(cancelS));
  let unsureFor: Millis | null = null;
  const newer: number[] = [];
  const ctx = {
    clock,
    log: silentLog,
    cancellations,
    settings: { cancelWithin: seconds(cancelS), workerLease: seconds(20) },
    ops: defaultOperators(),
    siblings: { cancellations: () => Promise.resolve(words()) },
  } as unknown as NodeContext;
  const grant = { sure: () => unsureFor === null, unsureFor: () => unsureFor ?? ms(0) };
  const answering = new Answering(ctx, grant, (epoch) => newer.push(epoch));
  answering.knew(clock.now());
  /** Lives so many seconds without a grant, asking as a leader does; how long it answered. */
  const alone = async (s: number): Promise<number> => {
    let answered = 0;
    for (let t = 0; t < s; t += 0.5) {
      unsureFor = ms(t * 1000);
      if (answering.may(clock.now())) answered = t;
      await answering.ask();
      await clock.advance(500);
    }
    return answered;
  };
  return { answering, alone, clock, cancellations, newer };
}

const word = (upFor: number, more: Partial<CancellationsWord> = {}): Word => ({
  upFor: ms(upFor),
  leading: null,
  told: [],
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
    const { alone, newer, cancellations } = leader(40, () => [word(OLD, { leading: 9 as Epoch, told })]);
    await alone(1);
    expect(newer).toContain(9);
    expect(cancellations.has('j-000007' as JobId)).toBe(true);
  });
});

describe('a leader with a sure grant', () => {
  it('stops answering too when it has not seen the cancellations for long', async () => {
    const { answering, clock } = leader(40, () => []);
    await clock.advance(14_900);
    expect(answering.may(clock.now())).toBe(true);
    await clock.advance(200);
    expect(answering.may(clock.now())).toBe(false);
  });
});
