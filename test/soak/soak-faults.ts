/** Troubles that only real processes and sockets have, beside those of the virtual site. */
import { isolateNode, type Fault } from '../simulation/faults.js';
import type { LoopbackSite } from './loopback-site.js';

const LOST_SHARE = 0.15;
const REPEAT_AFTER_MS = 2500;
const MUTE_MS = 9000;
const BETWEEN_ENDS_MS = 3000;
const SOON_MS = 150;
const BACK_MS = 300;

function pick(nodes: readonly string[], random: () => number): string {
  return nodes[Math.floor(random() * nodes.length)] as string;
}

/** Of one site. */
export function soakTroubles(site: LoopbackSite): readonly Fault[] {
  return [
    {
      name: 'one controller is not heard by another',
      durationS: 30,
      inject(_site, _users, random) {
        const from = pick(site.nodes, random);
        const others = site.nodes.filter((node) => node !== from);
        return site.controllers.cutOneWay(from, pick(others, random));
      },
    },
    {
      name: 'reports and answers are lost',
      durationS: 40,
      inject() {
        site.machines.lostShare = LOST_SHARE;
        return () => {
          site.machines.lostShare = 0;
        };
      },
    },
    {
      name: 'commands arrive once more, late',
      durationS: 40,
      inject() {
        site.machines.repeatAfterMs = REPEAT_AFTER_MS;
        return () => {
          site.machines.repeatAfterMs = null;
        };
      },
    },
    {
      // Their records may not be written yet, and until they are heard nothing else names them.
      name: 'leaders end as new machines get their first work',
      durationS: 40,
      inject() {
        let next = 0;
        site.machines.onFirstWork = (id) => {
          site.outboundPartitioned.add(id);
          site.clock.after(MUTE_MS, () => site.outboundPartitioned.delete(id));
          const { leader } = site;
          if (leader === undefined || site.clock.now() < next) return;
          next = site.clock.now() + BETWEEN_ENDS_MS;
          site.clock.after(SOON_MS, () => site.crash(leader));
          site.clock.after(SOON_MS + BACK_MS, () => site.start(leader));
        };
        return () => {
          site.machines.onFirstWork = () => {};
        };
      },
    },
    {
      name: 'a zone is cut off, with its controller',
      durationS: 28,
      inject(_site, _users, random) {
        const node = pick(site.nodes, random);
        const zone = site.zoneOf(node);
        return isolateNode(site, node, (host) => site.worker(host).machine.zone === zone);
      },
    },
    {
      name: 'controllers end one after the other, and the last leader hangs',
      durationS: 30,
      inject() {
        const nodes = [...site.nodes];
        nodes.forEach((node, n) => {
          site.clock.after(n * 4000, () => site.crash(node));
          site.clock.after(n * 4000 + 900, () => site.start(node));
        });
        site.clock.after(18_000, () => {
          if (site.leader !== undefined) site.pause(site.leader, 8);
        });
        return () => {};
      },
    },
  ];
}
