/** Prints V8's processor profiles. */

interface ProfileNode {
  readonly id: number;
  readonly callFrame: { readonly functionName: string; readonly url: string; readonly lineNumber: number };
  readonly children?: readonly number[];
}

/** The content of a `.cpuprofile` file. */
export interface Profile {
  readonly nodes: readonly ProfileNode[];
  readonly samples: readonly number[];
  readonly timeDeltas: readonly number[];
}

const MAX_LISTED = 45;
const IDLE = new Set(['(idle)', '(root)']);

function nameOf({ callFrame: { functionName, url, lineNumber } }: ProfileNode): string {
  const file = url.slice(url.lastIndexOf('/') + 1);
  return `${functionName || '(anonymous)'} ${file}:${lineNumber + 1}`;
}

function print(title: string, times: ReadonlyMap<string, number>, total: number): void {
  console.log(title);
  const listed = [...times].sort(([, first], [, second]) => second - first).slice(0, MAX_LISTED);
  for (const [name, time] of listed) {
    const share = ((100 * time) / total).toFixed(1).padStart(5);
    console.log(`${(time / 1000).toFixed(0).padStart(8)} ms ${share}% ${name}`);
  }
}

/** Prints the functions with the most processor time, by self time and by total time. */
export function printShares({ nodes, samples, timeDeltas }: Profile): void {
  const byId = new Map(nodes.map((node) => [node.id, node]));
  const parents = new Map<number, number>();
  for (const node of nodes) for (const child of node.children ?? []) parents.set(child, node.id);
  const spent = new Map<number, number>();
  samples.forEach((id, index) => spent.set(id, (spent.get(id) ?? 0) + (timeDeltas[index] ?? 0)));
  const selfTimes = new Map<string, number>();
  const totalTimes = new Map<string, number>();
  let busy = 0;
  const add = (to: Map<string, number>, name: string, time: number): void => {
    to.set(name, (to.get(name) ?? 0) + time);
  };
  for (const [id, time] of spent) {
    const own = byId.get(id);
    if (!own || IDLE.has(own.callFrame.functionName)) continue;
    busy += time;
    add(selfTimes, nameOf(own), time);
    const names = new Set<string>();
    for (let at: number | undefined = id; at !== undefined; at = parents.get(at)) {
      const node = byId.get(at);
      if (node) names.add(nameOf(node));
    }
    for (const name of names) add(totalTimes, name, time);
  }
  console.log(`busy ${(busy / 1000).toFixed(0)} ms`);
  print('self time', selfTimes, busy);
  print('total time', totalTimes, busy);
}
