import { describe, expect, it } from 'vitest';
import { defaultOperators } from '../../src/config/operators.js';
import { LeaderLease, type PauseGuard } from '../../src/leadership/lease.js';
import { silentLogger } from '../../src/log/logger.js';
import { VirtualClock } from '../simulation/clock.js';
import { FakeKeyValueStore } from '../simulation/fake-key-value-store.js';

const TTL_MS = defaultOperators().leadership.leaseTtl;

interface LeaseFixture {
  readonly clock: VirtualClock;
  readonly store: FakeKeyValueStore;
  readonly lease: LeaderLease;
  /** Returns how often the lease has reported that the store ended it. */
  readonly expiryCount: () => number;
}

/** Creates a lease that the store has just granted. */
async function createHeldLease(): Promise<LeaseFixture> {
  const clock = new VirtualClock();
  const store = new FakeKeyValueStore(clock);
  const client = store.clientFor('a', clock);
  let expiryCount = 0;
  const ctx = { clock, log: silentLogger, store: client, operators: defaultOperators() };
  const lease = new LeaderLease(ctx, () => expiryCount++);
  const request = lease.beginRequest();
  const granted = client.grantLease(lease.ttlMs);
  await clock.advance(100);
  lease.confirm(await granted, request);
  return { clock, store, lease, expiryCount: () => expiryCount };
}

describe('LeaderLease', () => {
  it('is valid for slightly less than its time to live, counted from the sending of the request', async () => {
    const { clock, lease } = await createHeldLease();
    await clock.advance(TTL_MS * 0.99 - 100);
    expect(lease.isLeaseValid()).toBe(true);
    expect(lease.timeSinceLeaseExpiry()).toBe(0);
    await clock.advance(TTL_MS * 0.01);
    expect(lease.isLeaseValid()).toBe(false);
    expect(lease.timeSinceLeaseExpiry()).toBeGreaterThan(0);
  });

  it('stays valid while renewals succeed, and becomes invalid while the store is unavailable', async () => {
    const { clock, store, lease, expiryCount } = await createHeldLease();
    lease.startRenewal();
    await clock.advance(TTL_MS * 3);
    expect(lease.isLeaseValid()).toBe(true);
    store.isUnavailable = true;
    await clock.advance(TTL_MS * 1.1);
    expect(lease.isLeaseValid()).toBe(false);
    expect(expiryCount()).toBe(0);
  });

  it('is no longer held once the store has ended the lease', async () => {
    const { clock, store, lease, expiryCount } = await createHeldLease();
    const revoked = store.clientFor('b', clock).revokeLease(lease.id as NonNullable<typeof lease.id>);
    await clock.advance(100);
    await revoked;
    lease.startRenewal();
    await clock.advance(TTL_MS);
    expect(expiryCount()).toBe(1);
    expect(lease.id).toBeNull();
    expect(lease.timeSinceLeaseExpiry()).toBe(Infinity);
  });

  it('is invalid after a pause of the process until a later request confirms the lease', async () => {
    const { clock, lease } = await createHeldLease();
    const guard: PauseGuard & { isOpen: boolean; generation: number } = {
      isOpen: true,
      generation: 0,
      reopen(generation) {
        this.isOpen ||= generation === this.generation;
      },
    };
    lease.usePauseGuard(guard);
    lease.startRenewal();
    expect(lease.isLeaseValid()).toBe(true);
    guard.isOpen = false;
    guard.generation = 1;
    expect(lease.isLeaseValid()).toBe(false);
    lease.renewNow();
    await clock.advance(100);
    expect(lease.isLeaseValid()).toBe(true);
  });
});
