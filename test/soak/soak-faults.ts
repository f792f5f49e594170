/** Faults for sites of real processes and sockets. They complement the faults of simulated sites. */
import { isolateNode, type Fault } from '../simulation/faults.js';
import type { LoopbackSite } from './loopback-site.js';

const HEARTBEAT_LOSS_RATIO = 0.15;
const COMMAND_REPEAT_DELAY_MS = 2500;
const NEW_MACHINE_PARTITION_MS = 9000;
const MIN_LEADER_CRASH_INTERVAL_MS = 3000;
const LEADER_CRASH_DELAY_MS = 150;
const RESTART_DELAY_MS = 300;
const RESTART_OF_ALL_DELAY_MS = 2000;
const SECOND_RESTART_MS = 12_000;
const LIMIT_CHANGE_COUNT = 9;
const LIMIT_CHANGE_INTERVAL_MS = 9000;

function pickNode(nodes: readonly string[], random: () => number): string {
  return nodes[Math.floor(random() * nodes.length)] as string;
}

/**
 * Returns a fault that alternately raises and lowers the size limits of the key-value store. Controllers read the
 * limits from their settings file at startup, so each change restarts all controllers. Consecutive leaders therefore
 * write progress records with different chunk sizes.
 */
export function storeLimitChanges(site: LoopbackSite): Fault {
  return {
    name: 'limits of the key-value store rise and fall while leaders change',
    durationS: 85,
    inject() {
      for (let change = 0; change < LIMIT_CHANGE_COUNT; change++)
        site.clock.after(change * LIMIT_CHANGE_INTERVAL_MS, () => {
          for (const node of site.nodes) site.crash(node);
          site.setLowLimits(change % 2 === 1);
          site.clock.after(RESTART_DELAY_MS, () => site.startAll());
        });
      return () => site.setLowLimits(false);
    },
  };
}

/**
 * Returns a fault in which all controllers end and return, twice: the second time before they could have read each open
 * job by itself.
 */
export function restartsOfAll(site: LoopbackSite): Fault {
  return {
    name: 'all controllers end and return, twice',
    durationS: 20,
    inject() {
      for (const afterMs of [0, SECOND_RESTART_MS])
        site.clock.after(afterMs, () => {
          for (const node of site.nodes) site.crash(node);
          site.clock.after(RESTART_OF_ALL_DELAY_MS, () => site.startAll());
        });
      return () => {};
    },
  };
}

/** Returns the faults of links, heartbeats, commands and processes that the soak test injects into a site. */
export function soakFaults(site: LoopbackSite): readonly Fault[] {
  return [
    {
      name: 'a link between controllers is cut in one direction',
      durationS: 30,
      inject(_site, _users, random) {
        const from = pickNode(site.nodes, random);
        const others = site.nodes.filter((node) => node !== from);
        return site.controllers.cutOneWay(from, pickNode(others, random));
      },
    },
    {
      name: 'heartbeats and answers are lost',
      durationS: 40,
      inject() {
        site.machines.lossRate = HEARTBEAT_LOSS_RATIO;
        return () => {
          site.machines.lossRate = 0;
        };
      },
    },
    {
      name: 'commands are duplicated late',
      durationS: 40,
      inject() {
        site.machines.commandRepeatDelayMs = COMMAND_REPEAT_DELAY_MS;
        return () => {
          site.machines.commandRepeatDelayMs = null;
        };
      },
    },
    {
      // The leader may crash before it has written the records of the new machines. Until the machines' heartbeats
      // arrive, only task records name the machines.
      name: 'leaders crash as new machines get their first tasks',
      durationS: 40,
      inject() {
        let nextCrashAt = 0;
        site.machines.onFirstStart = (id) => {
          site.outboundPartitioned.add(id);
          site.clock.after(NEW_MACHINE_PARTITION_MS, () => site.outboundPartitioned.delete(id));
          const { leader } = site;
          if (leader === undefined || site.clock.now() < nextCrashAt) return;
          nextCrashAt = site.clock.now() + MIN_LEADER_CRASH_INTERVAL_MS;
          site.clock.after(LEADER_CRASH_DELAY_MS, () => site.crash(leader));
          site.clock.after(LEADER_CRASH_DELAY_MS + RESTART_DELAY_MS, () => site.start(leader));
        };
        return () => {
          site.machines.onFirstStart = () => {};
        };
      },
    },
    {
      name: 'a zone is partitioned together with its controller',
      durationS: 28,
      inject(_site, _users, random) {
        const node = pickNode(site.nodes, random);
        const zone = site.zoneOf(node);
        return isolateNode(site, node, (machine) => site.worker(machine).machine.zone === zone);
      },
    },
    {
      name: 'controllers crash one after the other, and the last leader is paused',
      durationS: 30,
      inject() {
        const nodes = [...site.nodes];
        nodes.forEach((node, index) => {
          site.clock.after(index * 4000, () => site.crash(node));
          site.clock.after(index * 4000 + 900, () => site.start(node));
        });
        site.clock.after(18_000, () => {
          if (site.leader !== undefined) site.pause(site.leader, 8);
        });
        return () => {};
      },
    },
  ];
}
