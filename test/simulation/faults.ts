/** Faults that random scenarios inject into a site. */
import type { MachineId } from '../../src/model/ids.js';
import type { ScenarioSite } from './scenario-site.js';

/** The operations and switches of a scenario's simulated users that faults control. */
export interface ScenarioUsers {
  /** Cancels up to `count` jobs that have running tasks. */
  cancelRunningJobs(count: number): void;
  /** Whether users cancel arrays at about the time at which the tasks end. */
  cancelsJobsNearEnd: boolean;
  /**
   * Whether users repeat submissions, cancel jobs that are done, submit jobs that fit no machine or lack a field, and
   * query jobs that were never submitted.
   */
  sendsRepeatedAndInvalidRequests: boolean;
}

/** A fault that a scenario injects and ends after `durationS` seconds. */
export interface Fault {
  /** The description that is written to the trace. */
  readonly name: string;
  readonly durationS: number;
  /** Injects the fault; the returned function ends the fault. */
  inject(site: ScenarioSite, users: ScenarioUsers, random: () => number): () => void;
}

/** The default time between the crash of a leader and the restart of its process. */
const RESTART_DELAY_S = 3;

function randomMachines(site: ScenarioSite, probability: number, random: () => number): MachineId[] {
  return [...site.workers.keys()].filter(() => random() < probability);
}

function crashLeader(site: ScenarioSite, restartDelayS: number): void {
  const name = site.leader;
  if (!name) return;
  site.crash(name);
  site.clock.after(restartDelayS * 1000, () => {
    if (!site.isRunning(name)) site.start(name);
  });
}

function repeatEvery(site: ScenarioSite, intervalS: number, times: number, action: () => void): void {
  for (let index = 0; index < times; index++) site.clock.after(index * intervalS * 1000, action);
}

const noop = (): void => {};

/**
 * Partitions one controller and the booted machines for which `isInside` is true from the key-value store and from all
 * other controllers and booted machines. The returned function ends the partition and clears all of `site.cutLinks`,
 * including links that were cut for another reason.
 */
export function isolateNode(
  site: ScenarioSite,
  node: string,
  isInside: (machine: MachineId) => boolean,
): () => void {
  site.store.refusedClients.add(node);
  site.isolatedNodes.add(node);
  for (const machine of site.workers.keys()) {
    for (const name of site.nodes)
      if ((name === node) !== isInside(machine)) site.cutLinks.add(`${name} ${machine}`);
  }
  return () => {
    site.store.refusedClients.delete(node);
    site.isolatedNodes.delete(node);
    site.cutLinks.clear();
  };
}

/**
 * Most machines fail every task that they start, and then run tasks again. Not part of `FAULTS`, of which the seeds of
 * the soak draw by number.
 */
export const FAILING_MACHINES: Fault = {
  name: 'machines fail every task that they start',
  durationS: 25,
  inject(site, _users, random) {
    const machines = randomMachines(site, 0.8, random);
    for (const machine of machines) site.worker(machine).failsTasks = true;
    return () => {
      for (const machine of machines) {
        const worker = site.workers.get(machine);
        if (worker) worker.failsTasks = false;
      }
    };
  },
};

/**
 * The faults that the protocol describes, and faults during which users observed violations of the protocol's rules.
 */
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
    name: 'the key-value store refuses the leader alone, then all',
    durationS: 48,
    inject(site) {
      const leader = site.leader;
      if (leader) site.store.refusedClients.add(leader);
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
    name: 'the leader loses the store and its peers, not workers and users',
    durationS: 30,
    inject(site) {
      const leader = site.leader;
      if (!leader) return noop;
      site.store.refusedClients.add(leader);
      site.isolatedNodes.add(leader);
      return () => {
        site.store.refusedClients.delete(leader);
        site.isolatedNodes.delete(leader);
      };
    },
  },
  {
    name: 'all controllers are down for longer than a lease',
    durationS: 26,
    inject(site) {
      for (const name of site.nodes) site.crash(name);
      return () => site.startAll();
    },
  },
  {
    name: 'transactions are applied late, after newer ones',
    durationS: 40,
    inject(site) {
      site.store.lateCommitRate = 0.25;
      return () => {
        site.store.lateCommitRate = 0;
      };
    },
  },
  {
    name: 'heartbeats are duplicated late',
    durationS: 40,
    inject(site) {
      site.duplicateHeartbeatRate = 0.4;
      return () => {
        site.duplicateHeartbeatRate = 0;
      };
    },
  },
  {
    name: 'machines receive nothing (inbound partition)',
    durationS: 35,
    inject(site, _users, random) {
      const machines = randomMachines(site, 0.5, random);
      for (const machine of machines) site.inboundPartitioned.add(machine);
      return () => site.inboundPartitioned.clear();
    },
  },
  {
    name: 'heartbeats of machines are lost (outbound partition)',
    durationS: 35,
    inject(site, _users, random) {
      const machines = randomMachines(site, 0.5, random);
      for (const machine of machines) site.outboundPartitioned.add(machine);
      return () => site.outboundPartitioned.clear();
    },
  },
  {
    name: 'machines hang and resume',
    durationS: 30,
    inject(site, _users, random) {
      const machines = randomMachines(site, 0.5, random);
      for (const machine of machines) site.worker(machine).hang();
      return () => {
        for (const machine of machines) site.workers.get(machine)?.resume();
      };
    },
  },
  {
    name: 'commands are delayed',
    durationS: 25,
    inject(site, _users, random) {
      const machines = randomMachines(site, 0.5, random);
      for (const machine of machines) for (const node of site.nodes) site.holdCommands(node, machine);
      return () => site.releaseCommands();
    },
  },
  {
    name: 'many jobs are cancelled at once',
    durationS: 20,
    inject(site, users) {
      users.cancelRunningJobs(4);
      site.clock.after(2000, () => users.cancelRunningJobs(2));
      return noop;
    },
  },
  {
    name: 'jobs are cancelled as they end',
    durationS: 40,
    inject(_site, users) {
      users.cancelsJobsNearEnd = true;
      return () => {
        users.cancelsJobsNearEnd = false;
      };
    },
  },
  {
    name: 'repeated and invalid requests',
    durationS: 40,
    inject(_site, users) {
      users.sendsRepeatedAndInvalidRequests = true;
      return () => {
        users.sendsRepeatedAndInvalidRequests = false;
      };
    },
  },
  {
    name: 'machines die',
    durationS: 20,
    inject(site, _users, random) {
      for (const machine of randomMachines(site, 0.4, random)) site.killMachine(machine);
      return noop;
    },
  },
  {
    name: 'the leader is paused',
    durationS: 12,
    inject(site) {
      const leader = site.leader;
      if (leader) site.pause(leader, 9);
      return noop;
    },
  },
  {
    name: 'workers and a controller are partitioned from the rest',
    durationS: 28,
    inject(site, _users, random) {
      const node = site.nodes[Math.floor(random() * site.nodes.length)] as string;
      const inside = new Set(randomMachines(site, 0.5, random));
      return isolateNode(site, node, (machine) => inside.has(machine));
    },
  },
];
