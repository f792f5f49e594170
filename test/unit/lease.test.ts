import { describe, expect, it } from 'vitest';
import { defaultOperators } from '../../src/config/operators.js';
import { LeaderLease, type PauseGuard } from '../../src/leadership/lease.js';
import { silentLogger } from '../../src/log/logger.js';
import { VirtualClock } from '../simulation/clock.js';
import { FakeKeyValueStore } from '../simulation/fake-key-value-store.js';

const TTL_MS = defaultOperators().leadership.leaseTtl;

interface HeldLease {
  readonly clock: VirtualClock;
  readonly store: FakeKeyValueStore;
  readonly lease: LeaderLease;
  /** How often the store has ended the lease. */
  readonly expiries: () => number;
}

/** A lease that the store has just granted. */
async function heldLease(): Promise<HeldLease> {
  const clock = new VirtualClock();
  const store = new FakeKeyValueStore(clock);
  const client = store.clientFor('a', clock);
  let expiries = 0;
  const ctx = { clock, log: silentLogger, store: client, operators: defaultOperators() };
  const lease = new LeaderLease(ctx, () => expiries++);
  const request = lease.beginRequest();
  const granted = client.grantLease(lease.ttlMs);
  await clock.advance(100);
  lease.confirm(await granted, request);
  return { clock, store, lease, expiries: () => expiries };
}

describe('LeaderLease', () => {
  it('is valid for somewhat less than its time to live, from the moment at which the request was sent', async () => {
    const { clock, lease } = await heldLease();
    await clock.advance(TTL_MS * 0.99 - 100);
    expect(lease.isLeaseValid()).toBe(true);
    expect(lease.timeSinceLeaseExpiry()).toBe(0);
    await clock.advance(TTL_MS * 0.01);
    expect(lease.isLeaseValid()).toBe(false);
    expect(lease.timeSinceLeaseExpiry()).toBeGreaterThan(0);
  });

  it('stays valid while its renewals succeed, and not without the store', async () => {
    const { clock, store, lease, expiries } = await heldLease();
    lease.startRenewal();
    await clock.advance(TTL_MS * 3);
    expect(lease.isLeaseValid()).toBe(true);
    store.isUnavailable = true;
    await clock.advance(TTL_MS * 1.1);
    expect(lease.isLeaseValid()).toBe(false);
    expect(expiries()).toBe(0);
  });

  it('is not held any more once the store has ended it', async () => {
    const { clock, store, lease, expiries } = await heldLease();
    const revoked = store.clientFor('b', clock).revokeLease(lease.id as NonNullable<typeof lease.id>);
    await clock.advance(100);
    await revoked;
    lease.startRenewal();
    await clock.advance(TTL_MS);
    expect(expiries()).toBe(1);
    expect(lease.id).toBeNull();
    expect(lease.timeSinceLeaseExpiry()).toBe(Infinity);
  });

  it('is invalid after a pause of the process until a later request confirms it', async () => {
    const { clock, lease } = await heldLease();
    const guard: PauseGuard & { open: boolean; generation: number } = {
      open: true,
      generation: 0,
      reopen(generation) {
        this.open ||= generation === this.generation;
      },
    };
    lease.usePauseGuard(guard);
    lease.startRenewal();
    expect(lease.isLeaseValid()).toBe(true);
    guard.open = false;
    guard.generation = 1;
    expect(lease.isLeaseValid()).toBe(false);
    lease.renewNow();
    await clock.advance(100);
    expect(lease.isLeaseValid()).toBe(true);
  });
});
