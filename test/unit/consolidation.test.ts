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

  // A task that is stopped and finds no room where its job allows it waits, and its work is lost.
  describe('asks the placement rule for the tasks that it moves', () => {
    const north = { type: 'bara', zone: 'north', spot: false };
    const south = { ...north, zone: 'south' };
    const placement = {
      allowedTypes: null,
      zone: null,
      allowsSpot: true,
      zoneAffinity: false,
      zoneAntiAffinity: false,
      taskCount: 4,
    };
    const ruled = (over: object, zones: Record<string, number> = {}) =>
      task({
        rule: { job: 'j-000001', spec: { ...placement, ...over }, others: new Map(Object.entries(zones)) },
      });
    const at = (place: object, drained: DrainCandidate): DrainCandidate => ({ ...drained, ...place });
    const drain = (tasks: ReturnType<typeof task>[], elsewhere: object): MachineId[] =>
      machinesToDrain([at(north, machine('a', 56, tasks)), at(elsewhere, machine('c', 40, []))], 200, 0.02);

    it.each([
      ['one zone, where others of the job are', ruled({ zoneAffinity: true }, { north: 2 })],
      ['its only zone', ruled({ zone: 'north' })],
      ['half of the tasks in the other zone already', ruled({ zoneAntiAffinity: true }, { south: 2 })],
      ['another type', ruled({ allowedTypes: ['chota'] })],
    ])('leaves a machine alone whose task may not go where there is room: %s', (_name, moved) => {
      expect(drain([moved], south)).toEqual([]);
    });

    it.each([
      ['one zone, where others of the job are', ruled({ zoneAffinity: true }, { south: 2 })],
      ['all of the job moves with it', ruled({ zoneAffinity: true })],
      ['its only zone', ruled({ zone: 'south' })],
      ['less than half of the tasks in the other zone', ruled({ zoneAntiAffinity: true }, { south: 1 })],
      ['its type', ruled({ allowedTypes: ['bara'] })],
    ])('drains a machine whose task may go there: %s', (_name, moved) => {
      expect(drain([moved], south)).toEqual(['a']);
    });

    it('leaves a machine alone whose tasks together are more than the other zone may have', () => {
      const moved = ruled({ zoneAntiAffinity: true }, { south: 1 });
      expect(drain([moved, moved], south)).toEqual([]);
    });

    it('leaves a machine alone where one zone has no room for all that have to be together', () => {
      const moved = ruled({ zoneAffinity: true });
      const machines = [
        at(north, machine('a', 56, [moved, moved])),
        at(north, { ...machine('b', 40, []), freeCpus: 7 }),
        at(south, { ...machine('c', 40, []), freeCpus: 7 }),
      ];
      expect(machinesToDrain(machines, 300, 0.02)).toEqual([]);
    });
  });
});
