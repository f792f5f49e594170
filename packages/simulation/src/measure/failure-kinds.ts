/** The failures that are measured: how each is brought about. */
import type { Laboratory } from '../loopback/loopback-cluster.js';

/** One way in which an owner fails. */
export interface FailureKind {
  readonly name: string;
  readonly inflict: (laboratory: Laboratory, owner: string) => void;
}

/** Every kind leads to a takeover, by verdict or by grant. */
export const FAILURE_KINDS: readonly FailureKind[] = [
  { name: 'killed', inflict: (laboratory, owner) => laboratory.kill(owner) },
  { name: 'stopped', inflict: (laboratory, owner) => laboratory.stopProcess(owner) },
  {
    name: 'cut off',
    inflict: (laboratory, owner) => {
      laboratory.mute(owner);
      laboratory.deafen(owner);
      laboratory.store.refused.add(owner);
    },
  },
  {
    name: 'heard by none',
    inflict: (laboratory, owner) => {
      laboratory.mute(owner);
      laboratory.store.refused.add(owner);
    },
  },
];
