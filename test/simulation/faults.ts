import type { MachineId } from '../../src/model/ids.js';
import type { DaySite } from './day-site.js';

/** Users of a day, as far as troubles need them. */
export interface Users {
  /** Calls off so many of the jobs that run. */
  cancelSome(count: number): void;
  /** From now on jobs are called off at about the moment of their end. */
  cancelAtEnd: boolean;
  /** Repeats of submissions, cancels of ended jobs, jobs that can't run or lack a field. */
  odd: boolean;
}

/** One trouble: it begins, and it ends so many seconds later. */
export interface Trouble {
  readonly name: string;
  readonly forS: number;
  begin(site: DaySite, users: Users, random: () => number): () => void;
}

const BACK_S = 3;

function some(site: DaySite, share: number, random: () => number): MachineId[] {
  return [...site.workers.keys()].filter(() => random() < share);
}

function crashLeader(site: DaySite, backS: number): void {
  const name = site.leader;
  if (!name) return;
  site.crash(name);
  site.clock.after(backS * 1000, () => {
    if (!site.isRunning(name)) site.start(name);
  });
}

function every(site: DaySite, s: number, times: number, act: () => void): void {
  for (let i = 0; i < times; i++) site.clock.after(i * s * 1000, act);
}

const nothing = (): void => {};

/** A controller and some machines reach each other, and nothing else. */
export function cutOff(site: DaySite, node: string, isInside: (host: MachineId) => boolean): () => void {
  site.state.refused.add(node);
  site.alone.add(node);
  for (const host of site.workers.keys()) {
    for (const name of site.nodes) if ((name === node) !== isInside(host)) site.cuts.add(`${name} ${host}`);
  }
  return () => {
    site.state.refused.delete(node);
    site.alone.delete(node);
    site.cuts.clear();
  };
}

/** Those of the protocol and of the meetings that the users have seen rules break in. */
export const TROUBLES: readonly Trouble[] = [
  {
    name: 'leaders change, some within a fraction of a second',
    forS: 50,
    begin(site, _users, random) {
      every(site, 10, 5, () => crashLeader(site, random() < 0.4 ? 0.2 : BACK_S));
      return nothing;
    },
  },
  {
    name: 'state refuses the leader alone, then all',
    forS: 48,
    begin(site) {
      const old = site.leader;
      if (old) site.state.refused.add(old);
      site.clock.after(1500, () => {
        site.state.outage = true;
      });
      return () => {
        site.state.refused.clear();
        site.state.outage = false;
      };
    },
  },
  {
    name: 'the leader loses state and the others, not workers and users',
    forS: 30,
    begin(site) {
      const old = site.leader;
      if (!old) return nothing;
      site.state.refused.add(old);
      site.alone.add(old);
      return () => {
        site.state.refused.delete(old);
        site.alone.delete(old);
      };
    },
  },
  {
    name: 'all controllers are away for longer than a lease',
    forS: 26,
    begin(site) {
      for (const name of site.nodes) site.crash(name);
      return () => site.startAll();
    },
  },
  {
    name: 'transactions come late, after newer ones',
    forS: 40,
    begin(site) {
      site.state.lateShare = 0.25;
      return () => {
        site.state.lateShare = 0;
      };
    },
  },
  {
    name: 'reports come again, late',
    forS: 40,
    begin(site) {
      site.copyShare = 0.4;
      return () => {
        site.copyShare = 0;
      };
    },
  },
  {
    name: 'machines are deaf',
    forS: 35,
    begin(site, _users, random) {
      const hosts = some(site, 0.5, random);
      for (const host of hosts) site.oneWay.add(host);
      return () => site.oneWay.clear();
    },
  },
  {
    name: 'machines are mute',
    forS: 35,
    begin(site, _users, random) {
      const hosts = some(site, 0.5, random);
      for (const host of hosts) site.mute.add(host);
      return () => site.mute.clear();
    },
  },
  {
    name: 'machines hang and go on',
    forS: 30,
    begin(site, _users, random) {
      const hosts = some(site, 0.5, random);
      for (const host of hosts) site.worker(host).hang();
      return () => {
        for (const host of hosts) site.workers.get(host)?.goOn();
      };
    },
  },
  {
    name: 'commands are held up and arrive late',
    forS: 25,
    begin(site, _users, random) {
      const hosts = some(site, 0.5, random);
      for (const host of hosts) for (const node of site.nodes) site.hold(node, host);
      return () => site.release();
    },
  },
  {
    name: 'many cancel in one instant',
    forS: 20,
    begin(site, users) {
      users.cancelSome(4);
      site.clock.after(2000, () => users.cancelSome(2));
      return nothing;
    },
  },
  {
    name: 'jobs are called off as they end',
    forS: 40,
    begin(_site, users) {
      users.cancelAtEnd = true;
      return () => {
        users.cancelAtEnd = false;
      };
    },
  },
  {
    name: 'odd requests',
    forS: 40,
    begin(_site, users) {
      users.odd = true;
      return () => {
        users.odd = false;
      };
    },
  },
  {
    name: 'machines die',
    forS: 20,
    begin(site, _users, random) {
      for (const host of some(site, 0.4, random)) site.takeAway(host);
      return nothing;
    },
  },
  {
    name: 'the leader stands still',
    forS: 12,
    begin(site) {
      const old = site.leader;
      if (old) site.standStill(old, 9);
      return nothing;
    },
  },
  {
    name: 'workers and a controller are cut off from the rest',
    forS: 28,
    begin(site, _users, random) {
      const node = site.nodes[Math.floor(random() * site.nodes.length)] as string;
      const inside = new Set(some(site, 0.5, random));
      return cutOff(site, node, (host) => inside.has(host));
    },
  },
];
