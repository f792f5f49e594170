import { describe, expect, it } from 'vitest';
import { defaultOperators, readOperators } from '../../src/config/operators.js';

describe('the operators’ file', () => {
  it('has the documented defaults', () => {
    expect(defaultOperators()).toEqual({
      leadership: { leaseTtl: 2500, maxRenewalWithoutQuorum: 15_000 },
      forecast: { slot: 30_000, spotBeta: 0.5, onDemandBeta: 0.85, hitS: 1, idleCostS: 30, averageSlots: 4 },
      fleet: { idleTimeout: 10_000, spotIdleTimeout: 20_000, bootPatience: 4, maxMachines: 10_000 },
      workers: { silenceTimeout: null, probeTimeout: 800, maxTaskFailures: 3 },
      log: { summaryInterval: 10_000 },
    });
  });

  it('reads every field under its documented name', () => {
    const settings = readOperators({
      cluster: { grant_s: 3, answer_alone_s: 12 },
      forecast: { slot_s: 20, beta: 0.4, firm_beta: 0.9, hit_s: 2, idle_cost: 40, average_slots: 5 },
      fleet: { give_back_s: 11, spot_give_back_s: 22, boot_patience: 5, max_machines: 50 },
      workers: { silent_s: 7, probe_s: 1, sick_errors: 4 },
      log: { summary_s: 60 },
    });
    expect(settings).toEqual({
      leadership: { leaseTtl: 3000, maxRenewalWithoutQuorum: 12_000 },
      forecast: { slot: 20_000, spotBeta: 0.4, onDemandBeta: 0.9, hitS: 2, idleCostS: 40, averageSlots: 5 },
      fleet: { idleTimeout: 11_000, spotIdleTimeout: 22_000, bootPatience: 5, maxMachines: 50 },
      workers: { silenceTimeout: 7000, probeTimeout: 1000, maxTaskFailures: 4 },
      log: { summaryInterval: 60_000 },
    });
  });
});
