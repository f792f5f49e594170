import { describe, expect, it } from 'vitest';
import { WorkerLeasePolicy } from '../../src/leader/worker-lease-policy.js';
import { ConfirmedCancellations } from '../../src/core/confirmed-cancellations.js';
import { defaultOperators } from '../../src/config/operators.js';
import { silentLogger } from '../../src/log/logger.js';
import type { Epoch, JobId } from '../../src/model/ids.js';
import { type Millis, ms, seconds } from '../../src/model/time.js';
import type { PeerStatus } from '../../src/peer/peer-status.js';
import { VirtualClock } from '../simulation/clock.js';

type PeerAnswer = PeerStatus | null;

/**
 * Creates the worker lease policy of a leader with a valid lease, a cancellation limit in seconds, and peers that
 * return the given answers (null: the peer does not answer).
 */
function createLeader(cancellationLimitS: number, peerAnswers: () => PeerAnswer[]) {
  const clock = new VirtualClock();
  const cancellations = new ConfirmedCancellations(clock, seconds(cancellationLimitS));
  let expiredFor: Millis | null = null;
  const observedEpochs: number[] = [];
  const ctx = {
    clock,
    log: silentLogger,
    cancellations,
    settings: { cancellationLimit: seconds(cancellationLimitS), workerLeaseDuration: seconds(20) },
    operators: defaultOperators(),
    peers: { collectStatus: () => Promise.resolve(peerAnswers()) },
  };
  const lease = { isLeaseValid: () => expiredFor === null, timeSinceLeaseExpiry: () => expiredFor ?? ms(0) };
  const policy = new WorkerLeasePolicy(ctx, lease, (epoch) => observedEpochs.push(epoch));
  policy.recordCancellationsObservedUpTo(clock.now());
  /**
   * Lets the leader lease expire and calls `pollPeers` every 500 ms for `durationS`; returns the last time at which
   * worker leases could be renewed, in seconds after the expiry.
   */
  const renewedForS = async (durationS: number): Promise<number> => {
    let renewedUpToS = 0;
    for (let elapsedS = 0; elapsedS < durationS; elapsedS += 0.5) {
      expiredFor = ms(elapsedS * 1000);
      if (policy.mayRenew(clock.now())) renewedUpToS = elapsedS;
      await policy.pollPeers();
      await clock.advance(500);
    }
    return renewedUpToS;
  };
  return { policy, renewedForS, clock, cancellations, observedEpochs };
}

const createPeerStatus = (uptimeMs: number, more: Partial<PeerStatus> = {}): PeerAnswer => ({
  uptime: ms(uptimeMs),
  leadingEpoch: null,
  cancellations: [],
  ...more,
});
const LONG_UPTIME_MS = 3_600_000;

describe('WorkerLeasePolicy without a valid leader lease renews worker leases', () => {
  it('while every peer reports that it is not leader and has confirmed no cancellation', async () => {
    expect(
      await createLeader(40, () => [
        createPeerStatus(LONG_UPTIME_MS),
        createPeerStatus(LONG_UPTIME_MS),
      ]).renewedForS(120),
    ).toBeGreaterThan(119);
  });

  it('for maxRenewalWithoutQuorum after a peer stops answering, however long the cancellation limit is: the peer may be leader', async () => {
    expect(await createLeader(400, () => [createPeerStatus(LONG_UPTIME_MS), null]).renewedForS(120)).toBe(
      14.5,
    );
  });

  it('until a lease could outlast the limit of an unknown cancellation, after a peer has restarted', async () => {
    // Renewal ends 15 s after the expiry: 40 s, less a worker lease of 20 s and a margin of 5 s.
    expect(
      await createLeader(40, () => [createPeerStatus(LONG_UPTIME_MS), createPeerStatus(100)]).renewedForS(
        120,
      ),
    ).toBe(14.5);
    expect(
      await createLeader(33, () => [createPeerStatus(LONG_UPTIME_MS), createPeerStatus(100)]).renewedForS(
        120,
      ),
    ).toBe(7.5);
  });

  it('and learns the epoch of a leading peer and the cancellations that peers have confirmed', async () => {
    const confirmed = [{ id: 'j-000007' as JobId, age: ms(900) }];
    const { renewedForS, observedEpochs, cancellations } = createLeader(40, () => [
      createPeerStatus(LONG_UPTIME_MS, { leadingEpoch: 9 as Epoch, cancellations: confirmed }),
    ]);
    await renewedForS(1);
    expect(observedEpochs).toContain(9);
    expect(cancellations.has('j-000007' as JobId)).toBe(true);
  });
});

describe('WorkerLeasePolicy with a valid leader lease', () => {
  it('stops renewing when it has not observed cancellations for 15 s', async () => {
    const { policy, clock } = createLeader(40, () => []);
    await clock.advance(14_900);
    expect(policy.mayRenew(clock.now())).toBe(true);
    await clock.advance(200);
    expect(policy.mayRenew(clock.now())).toBe(false);
  });
});
