/** Prints the CPU time of each function from a V8 CPU profile. */

interface ProfileNode {
  readonly id: number;
  readonly callFrame: { readonly functionName: string; readonly url: string; readonly lineNumber: number };
  readonly children?: readonly number[];
}

/** The content of a `.cpuprofile` file. Times are in microseconds. */
export interface Profile {
  readonly nodes: readonly ProfileNode[];
  readonly samples: readonly number[];
  readonly timeDeltas: readonly number[];
}

const MAX_LISTED_FUNCTION_COUNT = 45;
const IDLE_FUNCTION_NAMES = new Set(['(idle)', '(root)']);

function labelOf({ callFrame: { functionName, url, lineNumber } }: ProfileNode): string {
  const file = url.slice(url.lastIndexOf('/') + 1);
  return `${functionName || '(anonymous)'} ${file}:${lineNumber + 1}`;
}

function printTable(title: string, times: ReadonlyMap<string, number>, totalUs: number): void {
  console.log(title);
  const listed = [...times].sort(([, left], [, right]) => right - left).slice(0, MAX_LISTED_FUNCTION_COUNT);
  for (const [name, time] of listed) {
    const share = ((100 * time) / totalUs).toFixed(1).padStart(5);
    console.log(`${(time / 1000).toFixed(0).padStart(8)} ms ${share}% ${name}`);
  }
}

/**
 * Prints the functions with the most CPU time, by self time and by total time, which includes the called functions.
 * Percentages refer to the CPU time outside `(idle)` and `(root)`.
 */
export function printShares({ nodes, samples, timeDeltas }: Profile): void {
  const byId = new Map(nodes.map((node) => [node.id, node]));
  const parentById = new Map<number, number>();
  for (const node of nodes) for (const child of node.children ?? []) parentById.set(child, node.id);
  const selfTimeById = new Map<number, number>();
  samples.forEach((id, index) =>
    selfTimeById.set(id, (selfTimeById.get(id) ?? 0) + (timeDeltas[index] ?? 0)),
  );
  const selfTimes = new Map<string, number>();
  const totalTimes = new Map<string, number>();
  let busyUs = 0;
  const addTime = (to: Map<string, number>, name: string, time: number): void => {
    to.set(name, (to.get(name) ?? 0) + time);
  };
  for (const [id, time] of selfTimeById) {
    const sampledNode = byId.get(id);
    if (!sampledNode || IDLE_FUNCTION_NAMES.has(sampledNode.callFrame.functionName)) continue;
    busyUs += time;
    addTime(selfTimes, labelOf(sampledNode), time);
    const names = new Set<string>();
    for (let at: number | undefined = id; at !== undefined; at = parentById.get(at)) {
      const node = byId.get(at);
      if (node) names.add(labelOf(node));
    }
    for (const name of names) addTime(totalTimes, name, time);
  }
  console.log(`busy ${(busyUs / 1000).toFixed(0)} ms`);
  printTable('self time', selfTimes, busyUs);
  printTable('total time', totalTimes, busyUs);
}
