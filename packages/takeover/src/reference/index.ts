/**
 * The reference implementation of ownership on a store with conditional writes. For tests, simulations and
 * measurements: the controllers implement `OwnershipClaims` on their own records.
 */
export {
  type CommitResult,
  type ConditionalStore,
  type StoreCondition,
  type StoredValue,
  StoreOutcomeUnknownError,
  StoreUnavailableError,
  type StoreWrite,
} from './conditional-store.js';
export { EpochFence } from './epoch-fence.js';
export { OwnershipRegistry } from './ownership-registry.js';
