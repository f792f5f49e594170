import type { MachineId } from '../../src/model/ids.js';
import type { ScenarioSite } from './scenario-site.js';

/** Users of a day, as far as troubles need them. */
export interface ScenarioUsers {
  /** Calls off so many of the jobs that run. */
  cancelSome(count: number): void;
  /** From now on jobs are called off at about the moment of their end. */
  cancelNearEnd: boolean;
  /** Repeats of submissions, cancels of ended jobs, jobs that can't run or lack a field. */
  sendOddRequests: boolean;
}

/** One trouble: it begins, and it ends so many seconds later. */
export interface Fault {
  readonly name: string;
  readonly durationS: number;
  inject(site: ScenarioSite, users: ScenarioUsers, random: () => number): () => void;
}

const RESTART_DELAY_S = 3;

function randomMachines(site: ScenarioSite, share: number, random: () => number): MachineId[] {
  return [...site.workers.keys()].filter(() => random() < share);
}

function crashLeader(site: ScenarioSite, backS: number): void {
  const name = site.leader;
  if (!name) return;
  site.crash(name);
  site.clock.after(backS * 1000, () => {
    if (!site.isRunning(name)) site.start(name);
  });
}

function repeatEvery(site: ScenarioSite, s: number, times: number, act: () => void): void {
  for (let i = 0; i < times; i++) site.clock.after(i * s * 1000, act);
}

const noop = (): void => {};

/** A controller and some machines reach each other, and nothing else. */
export function isolateNode(
  site: ScenarioSite,
  node: string,
  isInside: (host: MachineId) => boolean,
): () => void {
  site.store.refusedClients.add(node);
  site.isolatedNodes.add(node);
  for (const host of site.workers.keys()) {
    for (const name of site.nodes)
      if ((name === node) !== isInside(host)) site.cutLinks.add(`${name} ${host}`);
  }
  return () => {
    site.store.refusedClients.delete(node);
    site.isolatedNodes.delete(node);
    site.cutLinks.clear();
  };
}

/** Those of the protocol and of the meetings that the users have seen rules break in. */
export const FAULTS: readonly Fault[] = [
  {
    name: 'leaders change, some within a fraction of a second',
    durationS: 50,
    inject(site, _users, random) {
      repeatEvery(site, 10, 5, () => crashLeader(site, random() < 0.4 ? 0.2 : RESTART_DELAY_S));
      return noop;
    },
  },
  {
    name: 'state refuses the leader alone, then all',
    durationS: 48,
    inject(site) {
      const old = site.leader;
      if (old) site.store.refusedClients.add(old);
      site.clock.after(1500, () => {
        site.store.isUnavailable = true;
      });
      return () => {
        site.store.refusedClients.clear();
        site.store.isUnavailable = false;
      };
    },
  },
  {
    name: 'the leader loses state and the others, not workers and users',
    durationS: 30,
    inject(site) {
      const old = site.leader;
      if (!old) return noop;
      site.store.refusedClients.add(old);
      site.isolatedNodes.add(old);
      return () => {
        site.store.refusedClients.delete(old);
        site.isolatedNodes.delete(old);
      };
    },
  },
  {
    name: 'all controllers are away for longer than a lease',
    durationS: 26,
    inject(site) {
      for (const name of site.nodes) site.crash(name);
      return () => site.startAll();
    },
  },
  {
    name: 'transactions come late, after newer ones',
    durationS: 40,
    inject(site) {
      site.store.lateCommitRate = 0.25;
      return () => {
        site.store.lateCommitRate = 0;
      };
    },
  },
  {
    name: 'reports come again, late',
    durationS: 40,
    inject(site) {
      site.duplicateHeartbeatRate = 0.4;
      return () => {
        site.duplicateHeartbeatRate = 0;
      };
    },
  },
  {
    name: 'machines are deaf',
    durationS: 35,
    inject(site, _users, random) {
      const hosts = randomMachines(site, 0.5, random);
      for (const host of hosts) site.inboundPartitioned.add(host);
      return () => site.inboundPartitioned.clear();
    },
  },
  {
    name: 'machines are mute',
    durationS: 35,
    inject(site, _users, random) {
      const hosts = randomMachines(site, 0.5, random);
      for (const host of hosts) site.outboundPartitioned.add(host);
      return () => site.outboundPartitioned.clear();
    },
  },
  {
    name: 'machines hang and go on',
    durationS: 30,
    inject(site, _users, random) {
      const hosts = randomMachines(site, 0.5, random);
      for (const host of hosts) site.worker(host).hang();
      return () => {
        for (const host of hosts) site.workers.get(host)?.resume();
      };
    },
  },
  {
    name: 'commands are held up and arrive late',
    durationS: 25,
    inject(site, _users, random) {
      const hosts = randomMachines(site, 0.5, random);
      for (const host of hosts) for (const node of site.nodes) site.holdCommands(node, host);
      return () => site.releaseCommands();
    },
  },
  {
    name: 'many cancel in one instant',
    durationS: 20,
    inject(site, users) {
      users.cancelSome(4);
      site.clock.after(2000, () => users.cancelSome(2));
      return noop;
    },
  },
  {
    name: 'jobs are called off as they end',
    durationS: 40,
    inject(_site, users) {
      users.cancelNearEnd = true;
      return () => {
        users.cancelNearEnd = false;
      };
    },
  },
  {
    name: 'odd requests',
    durationS: 40,
    inject(_site, users) {
      users.sendOddRequests = true;
      return () => {
        users.sendOddRequests = false;
      };
    },
  },
  {
    name: 'machines die',
    durationS: 20,
    inject(site, _users, random) {
      for (const host of randomMachines(site, 0.4, random)) site.killMachine(host);
      return noop;
    },
  },
  {
    name: 'the leader stands still',
    durationS: 12,
    inject(site) {
      const old = site.leader;
      if (old) site.pause(old, 9);
      return noop;
    },
  },
  {
    name: 'workers and a controller are cut off from the rest',
    durationS: 28,
    inject(site, _users, random) {
      const node = site.nodes[Math.floor(random() * site.nodes.length)] as string;
      const inside = new Set(randomMachines(site, 0.5, random));
      return isolateNode(site, node, (host) => inside.has(host));
    },
  },
];
