/**
 * Simulated clocks, networks, stores and clusters, and a checker of ownership histories, for tests and measurements.
 */
export { EffectHistory } from './history.js';
export { SimulatedNetwork } from './network.js';
export { SharedStore } from './shared-store.js';
export { type ClusterOptions, type Defects, SimulatedCluster } from './simulated-cluster.js';
export { ProcessClock, type SimulatedClock, VirtualClock } from './virtual-clock.js';
export { buildController } from './loopback/build-controller.js';
export { LoopbackCluster } from './loopback/loopback-cluster.js';
export { Relay } from './loopback/relay.js';
export { FailoverMode } from './loopback/protocol.js';
