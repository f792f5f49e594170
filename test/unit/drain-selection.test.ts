import { describe, expect, it } from 'vitest';
import { type DrainCandidate, machinesToDrain } from '../../src/fleet/drain-selection.js';
import type { MachineId } from '../../src/model/ids.js';

describe('machinesToDrain', () => {
  const task = (overrides = {}) => ({
    cpus: 4,
    memoryGb: 4,
    lostMs: 5000,
    remainingMs: 60_000,
    mayMove: true,
    ...overrides,
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

  it('drains the machines with the most costly idle CPUs while other machines have capacity for their tasks', () => {
    const chosen = machinesToDrain(
      [machine('a', 60, [task()]), machine('b', 60, [task()], 1), machine('c', 40, [])],
      200,
      0.02,
    );
    expect(chosen).toEqual(['a', 'b']);
  });

  it('does not drain a machine that the forecast, a target, the cost of lost work or a lack of capacity keeps', () => {
    const emptyMachine = machine('c', 60, []);
    expect(machinesToDrain([machine('a', 60, [task()]), emptyMachine], 50, 0.02)).toEqual([]);
    expect(machinesToDrain([machine('a', 60, [task({ mayMove: false })]), emptyMachine], 200, 0.02)).toEqual(
      [],
    );
    expect(
      machinesToDrain(
        [machine('a', 60, [task({ lostMs: 90_000, remainingMs: 500 })]), emptyMachine],
        200,
        0.02,
      ),
    ).toEqual([]);
    // There is no other machine that could run the task.
    expect(machinesToDrain([machine('a', 60, [task()])], 200, 0.02)).toEqual([]);
  });

  // Guards against draining a machine whose tasks fit only on machines that their job does not allow: a stopped task
  // would lose its work and then wait for capacity.
  describe('applies the placement constraints of the tasks that it moves', () => {
    const north = { type: 'bara', zone: 'north', spot: false };
    const south = { ...north, zone: 'south' };
    const unconstrainedSpec = {
      allowedTypes: null,
      zone: null,
      allowsSpot: true,
      zoneAffinity: false,
      zoneAntiAffinity: false,
      taskCount: 4,
    };
    const constrainedTask = (overrides: object, zones: Record<string, number> = {}) =>
      task({
        constraint: {
          job: 'j-000001',
          spec: { ...unconstrainedSpec, ...overrides },
          otherTasksByZone: new Map(Object.entries(zones)),
        },
      });
    const at = (placement: object, candidate: DrainCandidate): DrainCandidate => ({
      ...candidate,
      ...placement,
    });
    const drain = (tasks: ReturnType<typeof task>[], elsewhere: object): MachineId[] =>
      machinesToDrain([at(north, machine('a', 56, tasks)), at(elsewhere, machine('c', 40, []))], 200, 0.02);

    it.each([
      ['zone affinity with tasks in the drained zone', constrainedTask({ zoneAffinity: true }, { north: 2 })],
      ['required zone', constrainedTask({ zone: 'north' })],
      [
        'zone anti-affinity with half of the tasks in the other zone',
        constrainedTask({ zoneAntiAffinity: true }, { south: 2 }),
      ],
      ['another machine type', constrainedTask({ allowedTypes: ['chota'] })],
    ])('does not drain a machine whose task may not run where capacity is free: %s', (_name, movedTask) => {
      expect(drain([movedTask], south)).toEqual([]);
    });

    it.each([
      ['zone affinity with tasks in the other zone', constrainedTask({ zoneAffinity: true }, { south: 2 })],
      ['zone affinity without tasks elsewhere', constrainedTask({ zoneAffinity: true })],
      ['required zone', constrainedTask({ zone: 'south' })],
      [
        'zone anti-affinity with less than half of the tasks in the other zone',
        constrainedTask({ zoneAntiAffinity: true }, { south: 1 }),
      ],
      ['required machine type', constrainedTask({ allowedTypes: ['bara'] })],
    ])('drains a machine whose task may run where capacity is free: %s', (_name, movedTask) => {
      expect(drain([movedTask], south)).toEqual(['a']);
    });

    it('does not drain a machine whose tasks together exceed what zone anti-affinity allows in the other zone', () => {
      const movedTask = constrainedTask({ zoneAntiAffinity: true }, { south: 1 });
      expect(drain([movedTask, movedTask], south)).toEqual([]);
    });

    it('does not drain a machine whose tasks with zone affinity do not fit into a single zone', () => {
      const movedTask = constrainedTask({ zoneAffinity: true });
      const machines = [
        at(north, machine('a', 56, [movedTask, movedTask])),
        at(north, { ...machine('b', 40, []), freeCpus: 7 }),
        at(south, { ...machine('c', 40, []), freeCpus: 7 }),
      ];
      expect(machinesToDrain(machines, 300, 0.02)).toEqual([]);
    });
  });
});
