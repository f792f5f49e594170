import {
  checkSettings,
  DEFAULT_TUNING,
  majorityOf,
  Membership,
  type MembershipEnvironment,
  type MembershipSettings,
  type MemberId,
  MembershipSettingsError,
  MemberState,
  PeerSupport,
  RejectReason,
} from '@plumyoke/membership';
import { VirtualClock } from '@plumyoke/simulation';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

const MEMBERS = ['a', 'b', 'c'] as MemberId[];
const SETTINGS: MembershipSettings = {
  ...DEFAULT_TUNING,
  self: 'a' as MemberId,
  members: MEMBERS,
  majority: majorityOf(3),
};

/** A member without live peers, with the log lines and requests that it produced. */
interface IsolatedMember {
  readonly clock: VirtualClock;
  readonly membership: Membership;
  readonly logLines: string[];
  readonly requests: string[];
}

/** Creates a member whose requests are recorded and never answered. */
function isolatedMember(support = PeerSupport.Supported, settings = SETTINGS): IsolatedMember {
  const clock = new VirtualClock();
  const logLines: string[] = [];
  const requests: string[] = [];
  const environment: MembershipEnvironment = {
    clock,
    random: () => 0.5,
    log: { info: (_, text) => logLines.push(text), warn: (_, text) => logLines.push(text) },
    selfReport: () => ({ load: 0, ready: true }),
    transport: {
      support: () => support,
      request: (to) => {
        requests.push(to);
        return new Promise((resolve) => clock.after(100, () => resolve(null)));
      },
    },
  };
  return { clock, membership: new Membership(settings, environment), logLines, requests };
}

const encodedProbe = (from: string, sequence = 1, process = 'p1', incarnation = 5): Uint8Array =>
  Buffer.from(
    JSON.stringify({
      kind: 'probe',
      from: { member: from, process, incarnation },
      sequence,
      aboutReceiver: null,
      missing: [],
    }),
  );

describe('checkSettings', () => {
  it.each<[string, Partial<MembershipSettings>]>([
    ['members: b is named twice', { members: ['a', 'b', 'b'] as MemberId[] }],
    ['members: must contain this controller, a', { members: ['b', 'c'] as MemberId[] }],
    ['members: must not contain an empty name', { members: ['a', ''] as MemberId[] }],
    ['majority: 1 of 3 controllers is not a majority; must be at least 2', { majority: 1 }],
    ['majority: must be at most the number of controllers (3)', { majority: 4 }],
    ['majority: must be an integer', { majority: 2.5 }],
    ['probeIntervalMs: must be at least 10', { probeIntervalMs: -500 }],
    ['probeTimeoutMs: must be at most 500', { probeTimeoutMs: 700 }],
    ['suspicionMs: must be a finite number', { suspicionMs: Number.NaN }],
    ['suspicionMs: must be at most 600000', { suspicionMs: 1e9 }],
    ['pauseThresholdMs: must be at least 10', { pauseThresholdMs: 0 }],
    ['maxMessagesPerSecond: must be at least 4', { maxMessagesPerSecond: 1 }],
  ])('%s', (message, change) => {
    expect(() => checkSettings({ ...SETTINGS, ...change })).toThrow(MembershipSettingsError);
    expect(() => checkSettings({ ...SETTINGS, ...change })).toThrow(message);
  });
});

describe('Membership.handle', () => {
  it('answers a peer, and counts rejected messages by reason, logging each reason at a bounded rate', async () => {
    const { membership, clock, logLines } = isolatedMember();
    expect(await membership.handle(encodedProbe('b'))).not.toBeNull();
    for (let round = 0; round < 50; round++) {
      expect(await membership.handle(encodedProbe('stranger'))).toBeNull();
      expect(await membership.handle(Buffer.from('{'))).toBeNull();
      expect(await membership.handle(Buffer.from('{"kind":"poke"}'))).toBeNull();
      expect(await membership.handle(Buffer.alloc(70_000, 0x20))).toBeNull();
      await clock.advance(20);
    }
    expect(membership.rejected.get(RejectReason.UnknownMember)).toBe(50);
    expect(membership.rejected.get(RejectReason.Malformed)).toBe(50);
    expect(membership.rejected.get(RejectReason.UnknownKind)).toBe(50);
    expect(membership.rejected.get(RejectReason.Oversized)).toBe(50);
    expect(logLines).toHaveLength(4);
  });

  it('answers no more requests per second than the settings allow', async () => {
    const { membership } = isolatedMember();
    let answered = 0;
    for (let sequence = 1; sequence <= 1000; sequence++) {
      if (await membership.handle(encodedProbe('b', sequence))) answered++;
    }
    expect(answered).toBe(SETTINGS.maxMessagesPerSecond);
    expect(membership.rejected.get(RejectReason.RateLimited)).toBe(1000 - answered);
  });

  it('never rejects, whatever bytes arrive', async () => {
    const { membership, clock } = isolatedMember();
    const bytes = fc.uint8Array({ maxLength: 200 });
    const text = fc.json().map((json) => Buffer.from(json));
    const nearlyValid = fc
      .record({
        kind: fc.constantFrom('probe', 'answer', 'indirect-probe', 'indirect-answer'),
        from: fc.record({
          member: fc.constantFrom('b', 'x', ''),
          process: fc.string(),
          incarnation: fc.integer(),
        }),
        sequence: fc.integer(),
        aboutReceiver: fc.constantFrom(null, 1, {}),
        missing: fc.array(fc.string()),
        target: fc.constantFrom('a', 'b', 'nobody'),
        rows: fc.array(fc.anything()),
      })
      .map((message) => Buffer.from(JSON.stringify(message)));
    await fc.assert(
      fc.asyncProperty(fc.oneof(bytes, text, nearlyValid), async (payload) => {
        const answer = membership.handle(payload);
        await clock.advance(1000);
        await answer;
      }),
      { seed: 7, numRuns: 500 },
    );
  });

  // A duplicate that arrives minutes later must not make a failed member appear alive.
  it('counts neither a duplicate message nor a message of an earlier process as a contact', async () => {
    const { membership, clock } = isolatedMember();
    membership.start();
    const heardAgoMs = async (): Promise<number | null | undefined> => {
      const answer = await membership.handle(encodedProbe('c'));
      const { rows } = JSON.parse(Buffer.from(answer ?? []).toString()) as {
        rows: { peers: { identity: { member: string }; heardAgoMs: number | null }[] }[];
      };
      return rows[0]?.peers.find(({ identity }) => identity.member === 'b')?.heardAgoMs;
    };
    await membership.handle(encodedProbe('b', 7));
    await clock.advance(9000);
    await membership.handle(encodedProbe('b', 7));
    await membership.handle(encodedProbe('b', 3));
    await membership.handle(encodedProbe('b', 99, 'p0', 4));
    expect(await heardAgoMs()).toBe(9000);
    await membership.handle(encodedProbe('b', 8));
    expect(await heardAgoMs()).toBe(0);
    expect(membership.rejected.get(RejectReason.Stale)).toBe(1);
  });

  it('reports to a process whose clock is behind which incarnation it has to exceed', async () => {
    const { membership } = isolatedMember();
    await membership.handle(encodedProbe('b', 1, 'p1', 1000));
    const answer = await membership.handle(encodedProbe('b', 1, 'p2', 900));
    const { aboutReceiver } = JSON.parse(Buffer.from(answer ?? []).toString()) as {
      aboutReceiver: { identity: { process: string; incarnation: number } };
    };
    expect(aboutReceiver.identity).toMatchObject({ process: 'p1', incarnation: 1000 });
    await membership.handle(encodedProbe('b', 2, 'p2', 1001));
    expect(membership.members().find(({ member }) => member === 'b')?.identity?.process).toBe('p2');
  });
});

describe('a peer of an earlier version', () => {
  it('is not probed, and is unknown rather than suspected', async () => {
    const { membership, clock, requests } = isolatedMember(PeerSupport.Unsupported);
    membership.start();
    await clock.advance(20_000);
    expect(requests).toEqual([]);
    expect(membership.state('b' as MemberId)).toBe(MemberState.Unknown);
  });

  it('is not suspected before anything was received from it', async () => {
    const { membership, clock } = isolatedMember(PeerSupport.Unknown);
    membership.start();
    await clock.advance(20_000);
    expect(membership.state('b' as MemberId)).toBe(MemberState.Unknown);
  });
});

describe('a member that leaves', () => {
  // Regression test: a leaving process exited before its last answer was sent, and its peers suspected it.
  it('waits until its last answer has had time to arrive', async () => {
    const { membership, clock } = isolatedMember();
    membership.start();
    await membership.handle(encodedProbe('b'));
    let hasLeft = false;
    void membership.leave().then(() => {
      hasLeft = true;
    });
    await clock.advance(SETTINGS.probeTimeoutMs - 10);
    expect(hasLeft).toBe(false);
    await clock.advance(3 * SETTINGS.probeIntervalMs);
    expect(hasLeft).toBe(true);
  });
});

describe('message rate', () => {
  it('stays within the configured limit when no peer answers and all need indirect probes', async () => {
    const settings = { ...SETTINGS, maxMessagesPerSecond: 6 };
    const { membership, clock, requests } = isolatedMember(PeerSupport.Supported, settings);
    await membership.handle(encodedProbe('b'));
    await membership.handle(encodedProbe('c'));
    membership.start();
    await clock.advance(30_000);
    expect(requests.length).toBeGreaterThan(6 * 20);
    expect(requests.length).toBeLessThanOrEqual(6 * 31);
  });
});
