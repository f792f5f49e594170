/** Ownership of units of work, and its takeover by one survivor when an owner fails. */
export { EffectGate, type PauseSource } from './effect-gate.js';
export { EpochFence } from './epoch-fence.js';
export { describeDamage, describeReplaced } from './operator-messages.js';
export {
  type ClaimResult,
  Confirmation,
  type Damaged,
  type FencingEpoch,
  NO_EPOCH,
  NO_REVISION,
  type Owned,
  type Owner,
  type Ownership,
  type OwnershipClaims,
  type OwnershipReading,
  type Released,
  sameOwner,
  type StoreRevision,
  type UnitId,
  type UnitRevisions,
  type Unowned,
} from './ownership.js';
export { OwnershipRegistry } from './ownership-registry.js';
export { nextStage, type Stage, type StageEvent, WATCHING } from './stage.js';
export {
  type CommitResult,
  type ConditionalStore,
  type StoreCondition,
  type StoredValue,
  StoreUnavailable,
  StoreUncertain,
  type StoreWrite,
} from './store.js';
export { rankSuccessors } from './successor.js';
export { TakeoverCoordinator, type TakeoverEnvironment, type UnitHandler } from './takeover-coordinator.js';
export {
  checkTakeover,
  DEFAULT_TAKEOVER,
  type TakeoverSettings,
  TakeoverSettingsError,
} from './takeover-settings.js';
