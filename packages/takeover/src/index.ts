/** Ownership of units of work, and the takeover of a unit by exactly one surviving member when its owner fails. */
export { EffectGate, type PauseSource } from './effect-gate.js';
export {
  type ClaimableReading,
  type ClaimResult,
  OwnershipConfirmation,
  type DamagedReading,
  type FencingEpoch,
  type OwnedReading,
  type Owner,
  type Ownership,
  type OwnershipClaims,
  type OwnershipReading,
  type ReleasedReading,
  type StoreRevision,
  type UnitId,
  type UnitRevisions,
  type UnownedReading,
} from './ownership.js';
export type { Stage } from './stage.js';
export { rankSuccessors } from './successor-ranking.js';
export { TakeoverCoordinator } from './takeover-coordinator.js';
export type { TakeoverEnvironment, UnitHandler } from './takeover-context.js';
export {
  checkTakeoverSettings,
  DEFAULT_TAKEOVER_SETTINGS,
  type TakeoverSettings,
  TakeoverSettingsError,
} from './takeover-settings.js';
