import { describe, expect, it } from 'vitest';
import { type DrainCandidate, machinesToDrain } from '../../src/fleet/consolidation.js';
import type { MachineId } from '../../src/model/ids.js';

describe('machinesToDrain', () => {
  const task = (over = {}) => ({
    cpus: 4,
    memoryGb: 4,
    lostMs: 5000,
    leftMs: 60_000,
    mayMove: true,
    ...over,
  });
  const machine = (
    id: string,
    freeCpus: number,
    tasks: ReturnType<typeof task>[],
    price = 3,
  ): DrainCandidate => ({
    id: id as MachineId,
    cpus: 64,
    freeCpus,
    freeMemoryGb: freeCpus * 4,
    price,
    tasks,
  });

  it('takes the ones that waste most, while the others have capacity for their work', () => {
    const chosen = machinesToDrain(
      [machine('a', 60, [task()]), machine('b', 60, [task()], 1), machine('c', 40, [])],
      200,
      0.02,
    );
    expect(chosen).toEqual(['a', 'b']);
  });

  it('leaves alone what the forecast wants, what a target needs and what costs more to do again', () => {
    const other = machine('c', 60, []);
    expect(machinesToDrain([machine('a', 60, [task()]), other], 50, 0.02)).toEqual([]);
    expect(machinesToDrain([machine('a', 60, [task({ mayMove: false })]), other], 200, 0.02)).toEqual([]);
    expect(
      machinesToDrain([machine('a', 60, [task({ lostMs: 90_000, leftMs: 500 })]), other], 200, 0.02),
    ).toEqual([]);
    // no capacity elsewhere
    expect(machinesToDrain([machine('a', 60, [task()])], 200, 0.02)).toEqual([]);
  });
});
